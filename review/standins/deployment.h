#pragma once

// A small deployment on loopback for the review's scripts: the project's daemon as separate processes, started as deploy/system.toml says,
// and stand-ins for the platform, instances, the operator and consumers. Linux only; needs nothing but the C++ library.

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notPlayed = 2;

struct NotPlayed {
    std::string reason;
};

inline void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt: one line for each thing that was sent, answered or run, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
        , start(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        this->lineAt(Clock::now(), text);
    }

    void lineAt(Clock::time_point time, const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f s  ", std::chrono::duration<double>(time - this->start).count());
        this->file << stamp << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const Clock::time_point start;
};

struct Address {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const
    {
        return this->host + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(const Address &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = socketAddress(address);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0 || listen(listener, 128) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

/// A response as a client reads it. @p status is 0 if the connection ended, or the time was over, before a whole response came.
struct Response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Why there is no response.
    std::string failure;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    return text;
}

inline void parseHeaders(const std::string &head, std::map<std::string, std::string> &headers)
{
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t") == std::string::npos ? value.size() : value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t\r") + 1);
        headers[lowerCase(line.substr(0, colon))] = value;
    }
}

/// A client's connection, kept open over several requests.
class ClientConnection
{
public:
    explicit ClientConnection(Address address)
        : address(std::move(address))
    {
    }
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;
    ~ClientConnection()
    {
        this->disconnect();
    }

    bool connectWithin(Milliseconds timeout)
    {
        this->disconnect();
        this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const sockaddr_in target = socketAddress(this->address);
        if (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            pollfd state{this->descriptor, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(timeout.count())) != 1
                || getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                this->disconnect();
                return false;
            }
        }
        return true;
    }

    void disconnect()
    {
        if (this->descriptor >= 0) {
            close(this->descriptor);
            this->descriptor = -1;
        }
        this->received.clear();
    }

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }

    /// Whether the peer has closed the connection.
    bool isClosedByPeer() const
    {
        pollfd state{this->descriptor, POLLRDHUP, 0};
        return this->descriptor < 0 || poll(&state, 1, 0) > 0;
    }

    Response exchange(const std::string &request, Milliseconds timeout)
    {
        const Clock::time_point end = Clock::now() + timeout;
        std::size_t sent = 0;
        while (sent < request.size()) {
            const ssize_t written = send(this->descriptor, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (written > 0) {
                sent += static_cast<std::size_t>(written);
            } else if (errno != EAGAIN || !this->waitFor(POLLOUT, end)) {
                return this->failed("the request couldn't be sent");
            }
        }
        Response response;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = this->received.find("\r\n\r\n")) == std::string::npos) {
            const std::string problem = this->receiveMore(end);
            if (!problem.empty()) {
                return this->failed(problem);
            }
        }
        const std::string head = this->received.substr(0, headEnd);
        this->received.erase(0, headEnd + 4);
        parseHeaders(head, response.headers);
        response.status = std::atoi(head.substr(std::min<std::size_t>(9, head.size())).c_str());
        const std::string length = response.header("content-length");
        if (length.empty() && response.status != 204) {
            return this->failed("the response has no length");
        }
        const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
        while (this->received.size() < bytes) {
            const std::string problem = this->receiveMore(end);
            if (!problem.empty()) {
                return this->failed(problem + " within the body");
            }
        }
        response.body = this->received.substr(0, bytes);
        this->received.erase(0, bytes);
        if (lowerCase(response.header("connection")) == "close") {
            this->disconnect();
        }
        return response;
    }

private:
    bool waitFor(short events, Clock::time_point end) const
    {
        const Milliseconds left = std::chrono::duration_cast<Milliseconds>(end - Clock::now());
        pollfd state{this->descriptor, events, 0};
        return left.count() > 0 && poll(&state, 1, static_cast<int>(left.count())) == 1;
    }

    std::string receiveMore(Clock::time_point end)
    {
        if (!this->waitFor(POLLIN, end)) {
            return "no answer in time";
        }
        char part[65536];
        const ssize_t count = recv(this->descriptor, part, sizeof part, 0);
        if (count == 0) {
            return "the connection was closed";
        }
        if (count < 0 && errno != EAGAIN) {
            return "the connection was reset";
        }
        this->received.append(part, count > 0 ? static_cast<std::size_t>(count) : 0);
        return {};
    }

    Response failed(const std::string &reason)
    {
        this->disconnect();
        Response response;
        response.failure = reason;
        return response;
    }

    const Address address;
    int descriptor = -1;
    std::string received;
};

inline Response call(const Address &address, const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout)
{
    ClientConnection connection(address);
    if (!connection.connectWithin(timeout)) {
        Response response;
        response.failure = "the connection couldn't be established";
        return response;
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address.text() + "\r\n";
    if (!body.empty()) {
        request += "Content-Type: application/json\r\n";
    }
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return connection.exchange(request, timeout);
}

/// One process of the project. Its output goes to a file.
class Process
{
public:
    Process(std::vector<std::string> arguments, std::string settingsFile, std::string outputFile)
        : arguments(std::move(arguments))
        , settingsFile(std::move(settingsFile))
        , outputFile(std::move(outputFile))
    {
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process()
    {
        this->signal(SIGKILL);
        this->awaitEnd();
    }

    void start()
    {
        const std::string settings = "HYSSOPHALL_CONFIG=" + this->settingsFile;
        this->id = fork();
        if (this->id == 0) {
            // The process ends with the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(this->outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            std::vector<char *> argumentPointers;
            for (std::string &argument : this->arguments) {
                argumentPointers.push_back(argument.data());
            }
            argumentPointers.push_back(nullptr);
            std::string path = "PATH=" + std::string(std::getenv("PATH") == nullptr ? "/usr/bin:/bin" : std::getenv("PATH"));
            std::string settingsVariable = settings;
            char *environment[] = {path.data(), settingsVariable.data(), nullptr};
            execve(argumentPointers[0], argumentPointers.data(), environment);
            _exit(127);
        }
    }

    void signal(int number) const
    {
        if (this->id > 0) {
            kill(this->id, number);
        }
    }

    /// Waits for the end of the process.
    void awaitEnd()
    {
        if (this->id > 0) {
            waitpid(this->id, nullptr, 0);
            this->id = -1;
        }
    }

    bool hasEnded()
    {
        if (this->id > 0 && waitpid(this->id, nullptr, WNOHANG) == this->id) {
            this->id = -1;
        }
        return this->id <= 0;
    }

private:
    std::vector<std::string> arguments;
    const std::string settingsFile;
    const std::string outputFile;
    pid_t id = -1;
};

struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    bool isCore = false;
    Address front;
    Address readiness;
    Address control;
    std::unique_ptr<Process> process;
};

/// The bounds of the site files that the claims name.
struct Bounds {
    static constexpr Milliseconds stabilityWindow{3000};
    static constexpr Milliseconds drain{2000};
    static constexpr Milliseconds grace{6000};
    static constexpr Milliseconds configApply{2000};
};

/// The platform: machines with the settings that it fills in from the project's templates.
class Deployment
{
public:
    struct Options {
        /// The zone of each core machine and of each edge machine.
        std::vector<std::string> coreZones{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"};
        std::vector<std::string> edgeZones{"zone-a", "zone-b", "zone-c"};
    };

    Deployment(const Options &options, Record &record)
        : record(record)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "hyssophall-review-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw NotPlayed{"no temporary folder"};
        }
        this->folder = pattern;
        std::random_device random;
        this->prefix = "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        this->choosePorts(options.coreZones.size() + options.edgeZones.size(), random);
        for (const std::string &zone : options.coreZones) {
            this->addMachine(zone, true);
        }
        for (const std::string &zone : options.edgeZones) {
            this->addMachine(zone, false);
        }
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment()
    {
        for (Machine &machine : this->machines) {
            machine.process->signal(SIGKILL);
        }
        this->machines.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        } else {
            std::cerr << "logs in " << this->folder << std::endl;
        }
    }

    /// Starts a machine with settings as they are at the first start of the deployment, or at a later one.
    void start(Machine &machine, bool isFirstStart)
    {
        std::ofstream(this->settingsFile(machine)) << this->settings(machine, isFirstStart);
        machine.process->start();
    }

    void startAll()
    {
        for (Machine &machine : this->machines) {
            this->start(machine, true);
        }
        this->record.line(std::to_string(this->machines.size()) + " machines started");
    }

    /// Waits until all edge machines are ready.
    void awaitReady(Milliseconds timeout)
    {
        const Clock::time_point end = Clock::now() + timeout;
        for (Machine *machine : this->edges()) {
            while (!this->isReady(*machine)) {
                if (Clock::now() > end) {
                    throw NotPlayed{machine->name + " isn't ready"};
                }
                pause(Milliseconds(50));
            }
        }
    }

    bool isReady(const Machine &machine) const
    {
        return call(machine.readiness, "GET", "/ready", "", Milliseconds(1000)).status == 200;
    }

    /// Sends a configuration as the operator does, to one node after the other, until one acknowledges it.
    void putConfiguration(const std::string &configuration)
    {
        const Clock::time_point end = Clock::now() + std::chrono::seconds(20);
        while (Clock::now() < end) {
            for (Machine *machine : this->cores()) {
                const Response response = call(machine->control, "PUT", "/v1/config", configuration, Milliseconds(1000));
                if (response.status == 200) {
                    this->record.line("operator: configuration acknowledged by " + machine->name);
                    return;
                }
            }
            pause(Milliseconds(200));
        }
        throw NotPlayed{"no node acknowledged the configuration"};
    }

    std::vector<Machine *> cores()
    {
        return this->select(true);
    }

    std::vector<Machine *> edges()
    {
        return this->select(false);
    }

    /// An address at which an instance can listen.
    Address instanceAddress()
    {
        return {this->prefix + std::to_string(200 + this->instanceCount++), this->instancePort};
    }

    std::vector<Address> controlAddresses()
    {
        std::vector<Address> all;
        for (Machine *machine : this->cores()) {
            all.push_back(machine->control);
        }
        return all;
    }

    std::list<Machine> machines;

private:
    std::vector<Machine *> select(bool isCore)
    {
        std::vector<Machine *> selected;
        for (Machine &machine : this->machines) {
            if (machine.isCore == isCore) {
                selected.push_back(&machine);
            }
        }
        return selected;
    }

    void choosePorts(std::size_t machineCount, std::random_device &random)
    {
        const auto isFree = [this, machineCount](std::uint16_t port) {
            for (std::size_t host = 1; host <= machineCount; ++host) {
                const int listener = listenOn({this->prefix + std::to_string(host), port});
                if (listener < 0) {
                    return false;
                }
                close(listener);
            }
            return true;
        };
        const auto next = [&isFree, &random] {
            std::uint16_t port = 0;
            do {
                port = static_cast<std::uint16_t>(10000 + random() % 20000);
            } while (!isFree(port));
            return port;
        };
        this->frontPort = next();
        this->readinessPort = next();
        this->controlPort = next();
        this->instancePort = next();
        do {
            this->firstInternalPort = next();
            this->lastInternalPort = static_cast<std::uint16_t>(this->firstInternalPort + 15);
        } while (!isFree(this->lastInternalPort));
    }

    void addMachine(const std::string &zone, bool isCore)
    {
        Machine machine;
        machine.zone = zone;
        machine.isCore = isCore;
        machine.ip = this->prefix + std::to_string(this->machines.size() + 1);
        machine.name = std::string(isCore ? "core" : "edge") + "-" + zone + "-" + std::to_string(this->machines.size() + 1);
        machine.front = {machine.ip, this->frontPort};
        machine.readiness = {machine.ip, this->readinessPort};
        machine.control = {machine.ip, this->controlPort};
        const std::string base = this->folder + "/" + machine.name;
        // The command of both roles in deploy/system.toml.
        machine.process = std::make_unique<Process>(std::vector<std::string>{"target/bin/hyssophalld"}, base + ".ini", base + ".log");
        this->machines.push_back(std::move(machine));
    }

    std::string settingsFile(const Machine &machine) const
    {
        return this->folder + "/" + machine.name + ".ini";
    }

    std::string settings(const Machine &machine, bool isFirstStart)
    {
        std::string seeds;
        for (Machine *core : this->cores()) {
            if (std::count(seeds.begin(), seeds.end(), ':') < 3) {
                seeds += (seeds.empty() ? "" : ",") + core->control.text();
            }
        }
        const std::map<std::string, std::string> values{{"node", machine.name},
            {"zone", machine.zone},
            {"ip", machine.ip},
            {"data_dir", this->folder + "/" + machine.name + ".data"},
            {"listen.front", machine.front.text()},
            {"listen.readiness", machine.readiness.text()},
            {"listen.control", machine.control.text()},
            {"internal_port_range.0", std::to_string(this->firstInternalPort)},
            {"internal_port_range.1", std::to_string(this->lastInternalPort)},
            {"seeds", seeds},
            {"bootstrap", isFirstStart ? "true" : "false"},
            {"fault_tolerance.machines", std::to_string((this->cores().size() - 1) / 2)},
            {"bounds.quota_window_s", "5"},
            {"bounds.quota_overage", "0.1"},
            {"bounds.quota_slack", "20"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_budget_slack", "60"},
            {"bounds.budget_window_s", "10"},
            {"bounds.fail_closed", "false"}};
        std::ifstream file(machine.isCore ? "platform/control.ini" : "platform/entry.ini");
        std::stringstream content;
        content << file.rdbuf();
        std::string text = content.str();
        std::filesystem::create_directories(values.at("data_dir"));
        std::size_t begin = 0;
        while ((begin = text.find("{{", begin)) != std::string::npos) {
            const std::size_t end = text.find("}}", begin);
            const auto value = values.find(text.substr(begin + 2, end - begin - 2));
            if (value == values.end()) {
                throw NotPlayed{"the template has an unknown placeholder"};
            }
            text.replace(begin, end + 2 - begin, value->second);
        }
        return text;
    }

    Record &record;
    std::string folder;
    std::string prefix;
    std::uint16_t frontPort = 0;
    std::uint16_t readinessPort = 0;
    std::uint16_t controlPort = 0;
    std::uint16_t instancePort = 0;
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    int instanceCount = 0;
};

/// One request as it reached an instance.
struct Arrival {
    Clock::time_point at;
    std::string requestId;
    std::string target;
    std::string body;
    std::string tenant;
    /// Empty while the run lasts.
    std::string end;
    std::optional<Clock::time_point> endedAt;
};

/// An instance of a service. Runs requests for the time that the last segment of their path names ("/w2500": 2500 ms) and drops a run when its
/// connection closes. Checks in as PROTOCOL.md describes.
class Instance
{
public:
    Instance(std::string id, std::string service, std::string zone, Address address, std::vector<Address> controls, Record &record)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , address(std::move(address))
        , controls(std::move(controls))
        , record(record)
        , born(unixMilliseconds())
        , listener(listenOn(this->address))
    {
        if (this->listener < 0) {
            throw NotPlayed{"an instance can't listen on " + this->address.text()};
        }
        this->acceptThread = std::thread([this] { this->acceptUntilStopped(); });
    }
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;
    ~Instance()
    {
        this->stopCheckIns();
        this->stopping = true;
        shutdown(this->listener, SHUT_RDWR);
        this->acceptThread.join();
        close(this->listener);
        for (std::thread &thread : this->connectionThreads) {
            thread.join();
        }
    }

    std::string checkInBody(const std::string &state)
    {
        return "{\"service\":\"" + this->service + "\",\"address\":\"" + this->address.text() + "\",\"zone\":\"" + this->zone
            + "\",\"version\":\"v1\",\"max_concurrency\":3,\"state\":\"" + state + "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++this->sequence)
            + ",\"born\":" + std::to_string(this->born) + "}";
    }

    std::string path() const
    {
        return "/v1/instances/" + this->id;
    }

    /// Sends a call to one node after the other, beginning with @p first, until one acknowledges it. Returns the time of the acknowledgement.
    std::optional<Clock::time_point> callControl(const std::string &method, const std::string &body, std::size_t first, int attempts)
    {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const Address &node = this->controls[(first + static_cast<std::size_t>(attempt)) % this->controls.size()];
            const Response response = call(node, method, this->path(), body, Milliseconds(1000));
            if (response.status >= 200 && response.status < 300) {
                return Clock::now();
            }
        }
        return std::nullopt;
    }

    /// Begins to check in every 1.5 s.
    void startCheckIns()
    {
        this->checkingIn = true;
        this->checkInThread = std::thread([this] {
            std::size_t node = std::hash<std::string>()(this->id);
            while (this->checkingIn) {
                if (!this->callControl("PUT", this->checkInBody("ready"), node, 3)) {
                    ++node;
                }
                for (int step = 0; step < 30 && this->checkingIn; ++step) {
                    pause(Milliseconds(50));
                }
            }
        });
    }

    void stopCheckIns()
    {
        this->checkingIn = false;
        if (this->checkInThread.joinable()) {
            this->checkInThread.join();
        }
    }

    std::vector<Arrival> arrivals()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return {this->runs.begin(), this->runs.end()};
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const Address address;
    /// Further lines of each response's head before the others, each with its line end. Set before the first request.
    std::string firstHeaders;

private:
    void acceptUntilStopped()
    {
        while (!this->stopping) {
            const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                continue;
            }
            this->connectionThreads.emplace_back([this, connection] {
                this->serve(connection);
                close(connection);
            });
        }
    }

    void serve(int connection)
    {
        std::string received;
        while (!this->stopping) {
            const std::size_t headEnd = received.find("\r\n\r\n");
            std::map<std::string, std::string> headers;
            if (headEnd != std::string::npos) {
                parseHeaders(received.substr(0, headEnd), headers);
            }
            const std::size_t length = headers.count("content-length") > 0 ? std::stoul(headers["content-length"]) : 0;
            if (headEnd == std::string::npos || received.size() < headEnd + 4 + length) {
                pollfd state{connection, POLLIN, 0};
                if (poll(&state, 1, 100) == 0) {
                    continue;
                }
                char part[65536];
                const ssize_t count = recv(connection, part, sizeof part, 0);
                if (count <= 0) {
                    return;
                }
                received.append(part, static_cast<std::size_t>(count));
                continue;
            }
            const std::string head = received.substr(0, received.find("\r\n"));
            const std::string body = received.substr(headEnd + 4, length);
            received.erase(0, headEnd + 4 + length);
            if (!this->respond(connection, head, headers, body)) {
                return;
            }
        }
    }

    bool respond(int connection, const std::string &head, std::map<std::string, std::string> &headers, const std::string &body)
    {
        const std::string target = head.substr(head.find(' ') + 1, head.rfind(' ') - head.find(' ') - 1);
        if (target == "/health") {
            return this->write(connection, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
        }
        if (headers.count("x-target-instance") > 0 && headers["x-target-instance"] != this->id) {
            return this->write(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
        }
        Arrival *arrival = nullptr;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            arrival = &this->runs.emplace_back(Arrival{Clock::now(), headers["x-request-id"], target, body, headers["x-tenant"], "", std::nullopt});
        }
        const std::size_t marker = target.rfind("/w");
        const Milliseconds work(marker == std::string::npos ? 20 : std::max(1, std::atoi(target.c_str() + marker + 2)));
        const Clock::time_point end = Clock::now() + work;
        bool isCut = false;
        while (!isCut && !this->stopping && Clock::now() < end) {
            pollfd state{connection, POLLRDHUP, 0};
            const Milliseconds left = std::chrono::duration_cast<Milliseconds>(end - Clock::now());
            isCut = poll(&state, 1, static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 20))) > 0;
        }
        const std::string answer = "answer of " + this->id + " to " + headers["x-request-id"];
        const bool isWritten = !isCut
            && this->write(connection,
                "HTTP/1.1 200 OK\r\n" + this->firstHeaders + "X-Request-Id: " + headers["x-request-id"] + "\r\nX-Response-Signature: signed-"
                    + headers["x-request-id"] + "\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer);
        const std::lock_guard<std::mutex> lock(this->mutex);
        arrival->end = isWritten ? "200" : "cut";
        arrival->endedAt = Clock::now();
        return isWritten;
    }

    bool write(int connection, const std::string &bytes)
    {
        return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    const std::vector<Address> controls;
    Record &record;
    const std::int64_t born;
    const int listener;
    std::atomic<bool> stopping{false};
    std::atomic<bool> checkingIn{false};
    std::atomic<int> sequence{0};
    std::mutex mutex;
    std::list<Arrival> runs;
    std::thread acceptThread;
    std::thread checkInThread;
    std::list<std::thread> connectionThreads;
};

struct Request {
    std::string method = "GET";
    std::string host = "service.example";
    std::string path;
    std::string key = "key-of-tenant-1";
    std::string body;
    Milliseconds deadline{15000};
};

inline Request get(const std::string &path)
{
    Request request;
    request.path = path;
    return request;
}

inline Request post(const std::string &path, const std::string &body)
{
    Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    return request;
}

/// A configuration with a safe and an unsafe route to the service "residents", like those of the site nccwu-sync.
inline std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":{
"profile-read":{"host":"service.example","path_prefix":"/profile/","kind":"safe","timeout_ms":8000,"target_latency_ms":2500,"priority":2,
"service":"residents","max_attempts":2,"public":false},
"credit-grant":{"host":"service.example","path_prefix":"/credit/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,
"service":"residents","max_attempts":2,"public":false}},
"services":{"residents":{"health_path":"/health","max_conns":360,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":{"tenant-1":{"api_keys":["key-of-tenant-1"],"priority":1,"rate_per_s":200,"burst":200}}})";
}

/// A new id for a consumer's attempt.
inline std::string newRequestId()
{
    static std::atomic<int> count{0};
    return "request-" + std::to_string(++count);
}

inline std::string requestText(const Request &request, const std::string &requestId)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\nX-Request-Id: " + requestId
        + "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
    if (!request.key.empty()) {
        text += "X-Key: " + request.key + "\r\n";
    }
    if (request.method != "GET" || !request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

inline std::string describe(const Response &response)
{
    return response.status == 0 ? response.failure
                                : std::to_string(response.status) + (response.header("x-response-signature").empty() ? "" : ", signed") + ", "
            + std::to_string(response.body.size()) + " bytes";
}

/// Runs a scenario and turns its result into the exit code of a script. The scenario gets the record and whether the disruption takes place.
inline int play(int argumentCount, char **arguments, const std::function<int(Record &, bool)> &scenario)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argumentCount != 2) {
        std::cerr << "usage: " << arguments[0] << " RECORD" << std::endl;
        return notPlayed;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool isDisrupted = trouble == nullptr || std::string(trouble) != "0";
    Record record(arguments[1]);
    record.line(isDisrupted ? "with the disruption" : "without the disruption");
    int result = notPlayed;
    try {
        result = scenario(record, isDisrupted);
    } catch (const NotPlayed &failure) {
        record.line("couldn't be played: " + failure.reason);
        std::cerr << "couldn't be played: " << failure.reason << std::endl;
    }
    record.line(result == ruleHeld ? "result: the rule held" : result == ruleBroken ? "result: the rule was broken" : "result: not played");
    return result;
}

} // namespace Review
