#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct Run {
    int status = -1;
    std::string output;
};

Run runDaemon(const std::string &arguments)
{
    Run run;
    FILE *pipe = popen((HYSSOPHALL_BINARIES "/hyssophalld " + arguments + " 2>&1").c_str(), "r");
    CATCH_REQUIRE(pipe != nullptr);
    std::array<char, 4096> bytes{};
    while (std::fgets(bytes.data(), static_cast<int>(bytes.size()), pipe) != nullptr) {
        run.output += bytes.data();
    }
    const int status = pclose(pipe);
    run.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return run;
}

} // namespace

CATCH_TEST_CASE("A wrong setting is reported with its file, line and expected value", "[daemon]")
{
    // Guards against operators who learn of a wrong setting only from a daemon that doesn't start.
    const std::string file = std::filesystem::temp_directory_path() / ("hyssophall-settings-" + std::to_string(getpid()));
    const std::string good = "[vm]\nid = vm-1\nfailure_domain = a\n[listen]\ncaller = 127.0.0.1:3\nadministration = 127.0.0.1:1\n"
                             "fleet = 127.0.0.1:2\n[fleet]\nsecret = 0123456789abcdef\n";
    std::ofstream(file) << good << "gossip_interval_ms = soon\n";
    const Run wrong = runDaemon("--check " + file);
    CATCH_CHECK(wrong.status == 1);
    CATCH_CHECK(wrong.output.find(file + ":10: fleet.gossip_interval_ms: expected ") == 0);
    std::ofstream(file) << good << "gossip_interval_ms = 100\n";
    const Run right = runDaemon("--check " + file);
    CATCH_INFO(right.output);
    CATCH_CHECK(right.status == 0);
    const Run wrongFlag = runDaemon("--settings=" + file + " --kill_after_s=soon");
    CATCH_CHECK(wrongFlag.status == 1);
    CATCH_CHECK(wrongFlag.output.find("--kill_after_s:0: shutdown.kill_after_s: expected ") != std::string::npos);
    std::filesystem::remove(file);
}

CATCH_TEST_CASE("The daemon tells its version and its flags", "[daemon]")
{
    CATCH_CHECK(runDaemon("--version").output == "hyssophalld 0.1.0\n");
    const Run help = runDaemon("--help");
    CATCH_CHECK(help.status == 0);
    CATCH_CHECK(help.output.find("--check  ") != std::string::npos);
    CATCH_CHECK(runDaemon("").status == 2);
}
