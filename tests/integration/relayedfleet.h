#pragma once

#include "harness/childprocess.h"
#include "harness/httprequest.h"
#include "harness/ports.h"
#include "harness/testfleet.h"
#include "support/rawupstream.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace HyssophallTest {

/// Three control VMs and two entry VMs of a relayed fleet as processes, each at a loopback address of its own, with one upstream.
class RelayedFleet
{
public:
    static constexpr int controls = 3;
    static constexpr int entries = 2;

    /// @p shutdownSettings are lines of the section [shutdown] of all VMs.
    explicit RelayedFleet(std::string shutdownSettings = "drain_notice_ms = 200\n")
        : folder(std::filesystem::temp_directory_path() / ("hyssophall-relayed-" + std::to_string(getpid())))
        , fleetPort(Hyssophall::Harness::findFreePort())
        , controlPort(Hyssophall::Harness::findFreePort())
        , callerPort(Hyssophall::Harness::findFreePort())
        , administrationPort(Hyssophall::Harness::findFreePort())
        , shutdownSettings(std::move(shutdownSettings))
        , upstream([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("ok", "X-Response-Signature: signed\r\n")); })
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        for (int number = 0; number < controls + entries; ++number) {
            this->processes.emplace_back();
            this->start(number, true);
        }
    }

    ~RelayedFleet()
    {
        this->processes.clear();
        std::filesystem::remove_all(this->folder);
    }

    void start(int number, bool firstStart)
    {
        const std::string file = (this->folder / ("vm-" + std::to_string(number) + ".ini")).string();
        std::ofstream(file) << this->settings(number, firstStart);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(this->processes[static_cast<std::size_t>(number)],
                    Hyssophall::Harness::ChildProcess::create(std::string(HYSSOPHALL_BINARIES) + "/hyssophalld", {"--settings=" + file}, file + ".log"));
                return {};
            },
            [] { CATCH_FAIL("The daemon doesn't start"); });
    }

    void kill(int number)
    {
        this->processes[static_cast<std::size_t>(number)]->kill();
    }

    /// Sends SIGTERM.
    void terminate(int number)
    {
        this->processes[static_cast<std::size_t>(number)]->terminate();
    }

    /// Whether the process has ended within the time.
    bool hasEnded(int number, std::chrono::milliseconds timeout)
    {
        return this->processes[static_cast<std::size_t>(number)]->waitForExit(timeout).has_value();
    }

    bool isRunning(int number)
    {
        return !this->processes[static_cast<std::size_t>(number)]->waitForExit(std::chrono::milliseconds(0));
    }

    /// A folder in the place of a file that each change of the control log writes makes the writes fail.
    void blockDisk(int number)
    {
        std::filesystem::create_directory(this->folder / ("data-" + std::to_string(number)) / "control" / "state.new");
    }

    void unblockDisk(int number)
    {
        std::filesystem::remove(this->folder / ("data-" + std::to_string(number)) / "control" / "state.new");
    }

    std::string log(int number) const
    {
        std::ifstream stream(this->folder / ("vm-" + std::to_string(number) + ".ini.log"));
        return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    }

    void wipeDisk(int number)
    {
        std::filesystem::remove_all(this->folder / ("data-" + std::to_string(number)));
    }

    Hyssophall::Harness::HttpResponse control(int number, const std::string &method, const std::string &path, const std::string &body = "")
    {
        return Hyssophall::Harness::send(
            {method, "http://" + address(number) + ":" + std::to_string(this->controlPort) + path, {}, body, std::chrono::milliseconds(2000)});
    }

    Hyssophall::Harness::HttpResponse call(int entry, const std::string &key, const std::string &host = "a.example")
    {
        return Hyssophall::Harness::send({"GET",
            "http://" + address(controls + entry) + ":" + std::to_string(this->callerPort) + "/x/item",
            {{"Host", host}, {"X-Key", key}, {"X-Request-Id", "request-1"}},
            "",
            std::chrono::milliseconds(5000)});
    }

    /// With the idempotent route /x/ and the non-idempotent route /o/ to the service s1.
    bool putConfiguration(
        int version, const std::string &key, const std::vector<int> &through, std::chrono::milliseconds timeout = std::chrono::milliseconds(2000))
    {
        const auto route = [timeout](const std::string &prefix, const std::string &kind) {
            return nlohmann::json{{"host", "a.example"},
                {"path_prefix", prefix},
                {"kind", kind},
                {"timeout_ms", timeout.count()},
                {"target_latency_ms", 1000},
                {"service", "s1"},
                {"max_attempts", 2},
                {"public", false}};
        };
        const nlohmann::json json{{"version", version},
            {"routes", {{"r-1", route("/x/", "safe")}, {"r-2", route("/o/", "unsafe")}}},
            {"services", {{"s1", {{"max_conns", 100}}}}},
            {"tenants", {{"red", {{"api_keys", {key}}, {"rate_per_s", 100}, {"burst", 100}}}}}};
        this->document = json.dump();
        return Hyssophall::Harness::waitUntil(std::chrono::seconds(15), [&] {
            return std::any_of(
                through.begin(), through.end(), [&](int number) { return this->control(number, "PUT", "/v1/config", this->document).status == 200; });
        });
    }

    int registerUpstream(int through, const std::string &state, int sequence)
    {
        return this->registerInstance(through, "i-1", this->upstream.port(), state, sequence);
    }

    int registerInstance(int through, const std::string &id, std::uint16_t port, const std::string &state, int sequence)
    {
        const nlohmann::json json{{"service", "s1"},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "a"},
            {"version", "v1"},
            {"max_concurrency", 3},
            {"state", state},
            {"warmup_left_ms", 0},
            {"seq", sequence},
            {"born", 1000}};
        return static_cast<int>(this->control(through, "PUT", "/v1/instances/" + id, json.dump()).status);
    }

    bool answersEverywhere(const std::string &key, long status)
    {
        return this->call(0, key).status == status && this->call(1, key).status == status;
    }

    /// Whether the VM's metrics have this line.
    bool tells(int number, const std::string &line)
    {
        const std::string text = Hyssophall::Harness::get("http://" + address(number) + ":" + std::to_string(this->administrationPort) + "/metrics").body;
        return text.find("\n" + line + "\n") != std::string::npos;
    }

    static std::string address(int number)
    {
        return "127.0.0." + std::to_string(11 + number);
    }

    const std::filesystem::path folder;
    const int fleetPort;
    const int controlPort;
    const int callerPort;
    const int administrationPort;
    const std::string shutdownSettings;
    RawUpstream upstream;
    std::string document;

private:
    std::string settings(int number, bool firstStart) const
    {
        const bool isControl = number < controls;
        const std::string host = address(number);
        std::string text = "[vm]\nid = vm-" + std::to_string(number) + "\nfailure_domain = " + (number % 2 == 0 ? "a" : "b")
            + "\nrole = " + (isControl ? "control" : "entry") + "\n";
        if (isControl) {
            text += "data_folder = " + (this->folder / ("data-" + std::to_string(number))).string() + "\n[listen]\nregistration = " + host + ":"
                + std::to_string(this->controlPort) + "\n";
        } else {
            text += "[listen]\ncaller = " + host + ":" + std::to_string(this->callerPort) + "\n";
        }
        text += "administration = " + host + ":" + std::to_string(this->administrationPort) + "\nfleet = " + host + ":" + std::to_string(this->fleetPort)
            + "\n[fleet]\nsecret = 0123456789abcdef\n[relay]\nenabled = true\nseeds = ";
        for (int seed = 0; seed < controls; ++seed) {
            text += (seed > 0 ? "," : "") + address(seed) + ":" + std::to_string(this->controlPort);
        }
        text += std::string("\n[control]\ntolerated_losses = 1\nrecall_grace_ms = 2000\nfirst_start = ") + (firstStart ? "true" : "false")
            + "\n[headers]\nkey = X-Key\ndeadline = X-Deadline-Ms\nteam = X-Tenant\ntarget_instance = X-Target-Instance\nnot_run = X-Not-Executed\n"
              "forward_request_id = true\n[shutdown]\n"
            + this->shutdownSettings;
        return text;
    }

    std::vector<std::unique_ptr<Hyssophall::Harness::ChildProcess>> processes;
};

} // namespace HyssophallTest
