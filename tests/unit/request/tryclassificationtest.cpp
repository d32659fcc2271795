#include "request/tryclassification.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

TryClassification classify(int status, const HttpHeaders &headers)
{
    UpstreamResult result;
    result.response = HttpResponse{status, headers, ""};
    return TryClassification(result, "X-Proof");
}

} // namespace

// Guards against forwarding a status that callers read as "not run" (408, 429, 503) although the instance didn't state that with the not-run header.
CATCH_TEST_CASE("Only the not-run header makes a 408, 429 or 503 a proof that the request didn't run", "[true-refusal]")
{
    for (const int status : {408, 429, 503}) {
        CATCH_CAPTURE(status);
        const TryClassification proven = classify(status, {{"X-Proof", "1"}});
        CATCH_CHECK(proven.isProvenNotRun());
        CATCH_CHECK_FALSE(proven.isForwardable());
        CATCH_CHECK(proven.allowsRetry(false, 0));
        const TryClassification bare = classify(status, {});
        CATCH_CHECK_FALSE(bare.isProvenNotRun());
        CATCH_CHECK_FALSE(bare.isForwardable());
        CATCH_CHECK_FALSE(bare.allowsRetry(false, 0));
        CATCH_CHECK(refusalStatus(bare.refusal(false).code) == 502);
    }
    CATCH_CHECK(classify(421, {}).outcome() == TryOutcome::WrongInstance);
    CATCH_CHECK(classify(421, {}).isProvenNotRun());
    for (const int status : {200, 400, 404, 500, 504}) {
        CATCH_CHECK(classify(status, {}).isForwardable());
        CATCH_CHECK_FALSE(classify(status, {}).isProvenNotRun());
    }
}
