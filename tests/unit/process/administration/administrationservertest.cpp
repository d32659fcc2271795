#include "process/administration/administrationserver.h"
#include "unit/process/administration/administrationmocks.h"
#include "unit/process/administration/freeport.h"

#include <catch2/catch.hpp>
#include <ulfius.h>

using namespace Hyssophall;
using Administration::AdministrationServer;

namespace {

struct Response {
    long status = 0;
    std::string body;
};

Response send(const Endpoint &endpoint, const std::string &method, const std::string &path, const std::string &body = "")
{
    _u_request request{};
    _u_response response{};
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    request.http_verb = o_strdup(method.c_str());
    request.http_url = o_strdup(("http://" + endpoint.address() + path).c_str());
    u_map_put(request.map_header, "Authorization", "Bearer alice-key");
    ulfius_set_binary_body_request(&request, body.data(), body.size());
    Response result;
    if (ulfius_send_http_request(&request, &response) == U_OK) {
        result = {response.status, std::string(static_cast<const char *>(response.binary_body), response.binary_body_length)};
    }
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
    return result;
}

} // namespace

// Guards against a web server that loses a request's key, query or escaped characters, or truncates its body.
CATCH_TEST_CASE("The administration API is served over HTTP", "[administration]")
{
    ApiFixture fixture;
    const Endpoint endpoint{"127.0.0.1", freePort()};
    boost::leaf::result<std::unique_ptr<AdministrationServer>> server
        = AdministrationServer::create([&fixture](const Administration::HttpRequest &request) { return fixture.api.handle(request); }, endpoint, 16);
    CATCH_REQUIRE(server);
    CATCH_REQUIRE(send(endpoint, "GET", "/v1/vm").body.find("\"incarnation\":\"99\"") != std::string::npos);
    CATCH_REQUIRE(send(endpoint, "GET", "/v1/version").status == 200);
    CATCH_REQUIRE(send(endpoint, "GET", "/metrics").body == "metric 1\n");
    CATCH_REQUIRE(send(endpoint, "GET", "/ready").status == 503);
    CATCH_REQUIRE(send(endpoint, "GET", "/").status == 404);
    CATCH_REQUIRE(send(endpoint, "POST", "/v1/changes", "{").status == 422);
    CATCH_REQUIRE(send(endpoint, "DELETE", "/v1/keys/a%2Fb?change_id=c%201&expected_version=0").status == 422);
    CATCH_REQUIRE(send(endpoint, "DELETE", "/v1/keys/a%2Fb?change_id=c1&expected_version=0").status == 422);
    CATCH_REQUIRE(fixture.proposer.proposed.back().change().withdraw_key() == "a/b");
    const std::string largest(AdministrationServer::maximumBodyBytes, ' ');
    CATCH_REQUIRE(send(endpoint, "POST", "/v1/changes", largest).status == 422);
    CATCH_REQUIRE(send(endpoint, "POST", "/v1/changes", largest + " ").status == 413);
    // A second server can't open the port, which is in use.
    CATCH_REQUIRE_FALSE(
        AdministrationServer::create([&fixture](const Administration::HttpRequest &request) { return fixture.api.handle(request); }, endpoint, 16));
    CATCH_REQUIRE_FALSE(AdministrationServer::create(
        [&fixture](const Administration::HttpRequest &request) { return fixture.api.handle(request); }, Endpoint{"nowhere", 1}, 16));
}
