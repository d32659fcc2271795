#include "request/tryverdict.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

TryVerdict verdictOn(int status, const HttpHeaders &headers)
{
    UpstreamResult result;
    result.answer = HttpAnswer{status, headers, ""};
    return TryVerdict(result, "X-Proof");
}

} // namespace

// Guards against a status of an instance that promises callers "never ran" without the instance having said so.
CATCH_TEST_CASE("Only the proof of an instance makes its answer a refusal", "[true-refusal]")
{
    for (const int status : {408, 429, 503}) {
        CATCH_CAPTURE(status);
        const TryVerdict proven = verdictOn(status, {{"X-Proof", "1"}});
        CATCH_CHECK(proven.isProvenNotRun());
        CATCH_CHECK_FALSE(proven.isAnswer());
        CATCH_CHECK(proven.mayRetry(false, 0));
        const TryVerdict bare = verdictOn(status, {});
        CATCH_CHECK_FALSE(bare.isProvenNotRun());
        CATCH_CHECK_FALSE(bare.isAnswer());
        CATCH_CHECK_FALSE(bare.mayRetry(false, 0));
        CATCH_CHECK(refusalStatus(bare.refusal(false).code) == 502);
    }
    CATCH_CHECK(verdictOn(421, {}).outcome() == TryOutcome::WrongInstance);
    CATCH_CHECK(verdictOn(421, {}).isProvenNotRun());
    for (const int status : {200, 400, 404, 500, 504}) {
        CATCH_CHECK(verdictOn(status, {}).isAnswer());
        CATCH_CHECK_FALSE(verdictOn(status, {}).isProvenNotRun());
    }
}
