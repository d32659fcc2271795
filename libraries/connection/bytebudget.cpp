#include "connection/bytebudget.h"

namespace Hyssophall {

ByteBudget::ByteBudget(std::size_t limit)
    : limit(limit)
{
}

bool ByteBudget::tryTake(std::size_t bytes)
{
    std::size_t before = this->taken;
    do {
        if (bytes > this->limit - before) {
            return false;
        }
    } while (!this->taken.compare_exchange_weak(before, before + bytes));
    std::size_t known = this->most;
    while (known < before + bytes && !this->most.compare_exchange_weak(known, before + bytes)) { }
    return true;
}

void ByteBudget::giveBack(std::size_t bytes)
{
    this->taken -= bytes;
}

std::size_t ByteBudget::mostTaken() const
{
    return this->most;
}

} // namespace Hyssophall
