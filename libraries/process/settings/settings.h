#pragma once

#include "request/headernames.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

enum class Role {
    /// Serves callers.
    Entry,
    /// Serves callers and holds a replica of the control log; needs a data folder.
    Control,
};

/// A setting that can't be used. Source: Settings::create() and Settings::createFromFile().
struct InvalidSetting {
    std::string file;
    /// Zero when the fault is that a setting is missing.
    int line = 0;
    /// "section.name".
    std::string setting;
    std::string expected;
};

/// A network endpoint from the settings; the host is an IP number.
struct Endpoint {
    std::string host;
    unsigned short port = 0;

    /// "host:port".
    std::string address() const;
};

/// All settings of a daemon. docs/OPERATIONS.md lists them with their defaults.
struct Settings {
    struct Vm {
        std::string id;
        std::string failureDomain;
        Role role = Role::Entry;
        /// Empty: nothing is kept on disk. Required for Role::Control.
        std::string dataFolder;
    };
    struct Listen {
        Endpoint caller;
        Endpoint administration;
        Endpoint fleet;
        /// Where instances register and operators put configurations; only on control VMs of a relayed fleet.
        Endpoint registration;
        std::size_t maximumConnections = 1000;
    };
    struct Fleet {
        /// Shared by all VMs of the fleet; at least 16 characters.
        std::string secret;
        /// Fleet addresses of some VMs to join through.
        std::vector<std::string> peers;
        std::chrono::milliseconds gossipInterval{250};
        std::chrono::milliseconds shardLease{2000};
        std::chrono::milliseconds servingLease{3000};
    };
    struct Control {
        /// Fleet addresses of the control VMs.
        std::vector<std::string> replicas;
        std::chrono::milliseconds heartbeatInterval{100};
        std::chrono::milliseconds electionTimeout{600};
        /// How long a restarted replica waits for the replicas beyond those that form a majority with it.
        std::chrono::milliseconds recallGrace{10000};
        /// Control VMs that may be lost at once; a relayed fleet forms its control group of twice as many and one.
        std::size_t toleratedLosses = 1;
        /// True only when the whole fleet starts for the first time, so that the control VMs may form a new group.
        bool isFirstStart = false;
    };
    /// The fleet's shape in which entry VMs connect to the control VM of their failure domain.
    struct Relay {
        bool enabled = false;
        /// Addresses on control VMs; their hosts are asked at the port of listen.fleet.
        std::vector<std::string> seeds;
        /// What sending a request to another failure domain is worth avoiding, and each kilobyte of the request and its answer, in
        /// thousandths of a failed request.
        std::size_t crossDomainCost = 20;
        std::size_t crossDomainCostOfKilobyte = 20;
    };
    /// Bounds that the deployment sets; see docs/OPERATIONS.md.
    struct Bounds {
        double retryRatio = 0.1;
        /// Retries a service may get beyond the ratio, in each window, over all VMs.
        std::size_t retrySlack = 30;
        std::chrono::seconds retryWindow{10};
        /// Windows over which teams' limits count; zero: limits are buckets that fill at the rate.
        std::chrono::seconds rateWindow{0};
        /// What a team may get beyond its limit in a window without breaking the deployment's promise.
        double rateOverage = 0;
        std::size_t rateSlack = 0;
        /// Whether a VM that may be out of date refuses requests that need a key.
        bool failClosed = false;
    };
    struct Limits {
        std::size_t maximumRequestBytes = 1024 * 1024;
        std::size_t maximumAnswerBytes = 8 * 1024 * 1024;
        std::size_t bufferedAnswerBytes = 32 * 1024 * 1024;
        std::chrono::milliseconds rateWait{250};
        /// How long a request waits for its team's rate while no owner of the team's bucket answers.
        std::chrono::milliseconds ownerWait{1000};
        std::chrono::milliseconds defaultTimeout{10000};
        std::chrono::milliseconds connectTimeout{1500};
    };
    struct Claims {
        std::chrono::seconds retention{600};
        std::size_t maximumBodyBytes = 16 * 1024;
    };
    struct Shutdown {
        std::chrono::milliseconds drainNotice{3000};
        std::chrono::milliseconds drainLimit{30000};
        /// When the infrastructure kills the process, counted from SIGTERM; zero if it doesn't.
        std::chrono::milliseconds killAfter{0};
    };
    struct Telemetry {
        /// Spans are appended as JSON lines; empty: no spans.
        std::string traceFile;
        /// Empty: standard output.
        std::string logFile;
    };

    Vm vm;
    Listen listen;
    Fleet fleet;
    Control control;
    Relay relay;
    Bounds bounds;
    HeaderNames headers;
    Limits limits;
    Claims claims;
    Shutdown shutdown;
    Telemetry telemetry;
    /// Operator name to the SHA-256 of the operator's key in lower-case hexadecimal digits.
    std::map<std::string, std::string> operators;

    /// Reads settings from INI text. @p file names the text in errors. Unknown and repeated settings are refused. Errors: InvalidSetting.
    static boost::leaf::result<Settings> create(std::string_view text, const std::string &file);

    /// Reads settings from a file. Errors: InvalidSetting, with line 0 when the file can't be read.
    static boost::leaf::result<Settings> createFromFile(const std::string &file);
};

} // namespace Hyssophall
