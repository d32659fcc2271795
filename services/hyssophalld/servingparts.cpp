#include "servingparts.h"

namespace Hyssophall {

// FIXME: The fleet, the limits and the health judgement aren't linked yet; a daemon without them would serve without limits.
boost::leaf::result<ServingParts> createServingParts(const Settings &, CatalogueStore &)
{
    return boost::leaf::new_error(MissingPart{"fleet"});
}

} // namespace Hyssophall
