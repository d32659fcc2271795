#pragma once

#include "process/hooks.h"

#include <nlohmann/json.hpp>

#include <boost/leaf/result.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Hyssophall {

/// How the emulated instance misbehaves.
enum class FaultMode {
    None,
    /// Each request takes the fault's delay longer.
    Slow,
    /// Runs the request, then answers 500.
    Error,
    /// Answers 503 with the proof that nothing ran.
    Shed,
    /// Runs the request and ends the answer half way.
    Truncate,
    /// Runs the request and answers after the fault's delay, as one that hangs.
    Hang,
};

/// Faults in force. Source: Emulator::setFaults().
struct Faults {
    FaultMode mode = FaultMode::None;
    /// Share of the requests that the fault hits, from 0 to 1.
    double ratio = 1.0;
    std::chrono::milliseconds delay{0};
    /// Requests whose body or path holds this text end the process, as a poison request does; empty: none.
    std::string crashOn;
};

/// A fault description that can't be used. Source: parseFaults().
struct InvalidFaults {
    std::string field;
};

/// Reads faults from JSON as in {"mode":"slow","ratio":0.5,"delay_ms":200,"crash_on":"text"}. Errors: InvalidFaults.
boost::leaf::result<Faults> parseFaults(const nlohmann::json &description);

/**
 * The work of one emulated instance: a fixed number of slots, a short queue before them, faults, and a record of each run.
 *
 * Thread-safe; run() blocks for the time that the request takes.
 */
class Emulator
{
public:
    struct Options {
        std::uint32_t slots = 3;
        /// Requests that may wait for a slot; more are shed.
        std::uint32_t queueLimit = 32;
        std::chrono::milliseconds serviceTime{5};
        /// Requests take three times as long until this time has passed since the start.
        std::chrono::milliseconds coldStart{0};
        RandomSource random;
    };

    enum class Result {
        Answered,
        Error,
        Shed,
        Truncated,
        /// The process must end at once.
        Crash,
    };

    explicit Emulator(Options options);

    /// Runs one request. @p runKey identifies it in the record of runs.
    Result run(const std::string &runKey, const std::string &content);

    void setFaults(const Faults &faults);

    /// Notes a header that no upstream should ever see.
    void noteCredentialSeen();

    /// {"runs":{key:count},"total":n,"shed":n,"most_in_slots":n,"credentials_seen":n}
    nlohmann::json record() const;

private:
    bool takeSlot();
    void leaveSlot();
    std::chrono::milliseconds runTime(const std::optional<Faults> &hit) const;
    std::optional<Faults> drawFault();

    const Options options;
    const SteadyTime startedAt;
    mutable std::mutex mutex;
    std::condition_variable slotFreed;
    Faults faults;
    std::map<std::string, std::uint64_t> runs;
    std::uint32_t slotsInUse = 0;
    std::uint32_t mostSlotsInUse = 0;
    std::uint32_t waiting = 0;
    std::uint64_t total = 0;
    std::uint64_t shed = 0;
    std::uint64_t credentialsSeen = 0;
};

} // namespace Hyssophall
