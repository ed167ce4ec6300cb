#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** Stand-ins for the platform's store, for targets and for callers, and a runner of the product. */
namespace Standin {

using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** @return milliseconds since the first call. */
std::int64_t nowMs();

/** What a run needs, from the command line: FOLDER RECORD PROGRAM [ARGUMENT...]. */
struct Arguments
{
    /** Folder of the files config.json and server.json. */
    std::string dataFolder;
    /** Temporary folder of the run. */
    std::string folder;
    std::string recordFile;
    /** Words of the command of the deploy file. */
    std::vector<std::string> command;
    bool hasTrouble = true;
    /** Memory of the VM. */
    unsigned memoryMebibytes = 260;

    static std::optional<Arguments> parse(int argc, char **argv);
};

/** Record of a run: what was sent, answered and run. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    int m_fd = -1;
};

/** The head and the body of a request or a response. Field names are in lower case. */
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
    /** @return the second word of the start line: the path or the status. */
    std::string secondWord() const;
    int status() const;
};

/** A blocking loopback connection. */
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {}
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    /** @return a connection to the port, or null. */
    static std::unique_ptr<Connection> open(std::uint16_t port);
    bool send(const std::string &bytes);
    /** Sends as much as the kernel takes at once. @return the number of bytes. */
    std::size_t sendAvailable(std::string_view bytes);
    /**
     * @param timeout time until the message must be complete
     * @return the next message, or nothing after the timeout or a close
     */
    std::optional<Message> receive(Milliseconds timeout);
    void close();

private:
    /** Waits for input. @return whether any arrived. */
    bool fill(std::int64_t untilMs);

    int m_fd;
    std::string m_input;
};

/** Accepts loopback connections and serves each in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    explicit Server(Handler handler);
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void acceptAll();

    Handler m_handler;
    int m_fd = -1;
    std::uint16_t m_port = 0;
};

/** The platform's store: versioned rows, a feed of changes, writes, and a return from a copy. */
class Store
{
public:
    Store();
    /** @return whether the store has taken the row: not while it is away. */
    bool put(const std::string &table, const std::string &key, const std::string &value);
    /** Keeps a copy of all rows and of the version. */
    void takeCopy();
    /** The store is away: it answers 503 to all calls, also to those that wait. */
    void leave();
    /** The store is back with the rows and the version of the copy, and has begun another era. */
    void returnFromCopy();
    std::string address() const { return m_server.address(); }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    void serve(Connection &connection);
    using Tables = std::map<std::string, std::map<std::string, Row>>;

    struct Answer
    {
        std::string status;
        std::string body;
    };

    /** @return the answer to a read, or to a feed if there is a row newer than `after`. */
    std::optional<std::string> read(const std::string &table, std::optional<std::uint64_t> after);
    Answer feed(const std::string &table, std::uint64_t after, std::int64_t waitMs);
    Answer transact(const std::string &body);
    Answer answer(const Message &request);
    std::uint64_t era();

    std::mutex m_mutex;
    std::atomic<bool> m_isAway = false;
    std::uint64_t m_era = 1;
    std::uint64_t m_version = 1;
    Tables m_tables;
    std::uint64_t m_copiedVersion = 0;
    Tables m_copiedTables;
    Server m_server;
};

/** A target: answers health questions and refuses what is meant for another target. */
class Target
{
public:
    /**
     * Works on a request and answers it.
     * @return whether the target keeps the connection
     */
    using Work = std::function<bool(Connection &connection, const Message &request)>;

    Target(std::string id, Work work);
    const std::string &id() const { return m_id; }
    std::string address() const { return m_server.address(); }
    /** @return the head of an answer, without the empty line. */
    std::string head(const Message &request, const std::string &statusLine) const;
    /** @return a whole signed answer. A target that is leaving announces that it closes. */
    std::string success(const Message &request) const;
    /** From now on the health path says that the target is leaving, and connections are not kept.
     */
    void leave() { m_isLeaving = true; }
    /** From now on the target closes each connection. */
    void exit() { m_hasExited = true; }
    bool isLeaving() const { return m_isLeaving; }
    bool hasExited() const { return m_hasExited; }

private:
    void serve(Connection &connection);

    const std::string m_id;
    const Work m_work;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_hasExited = false;
    Server m_server;
};

/** One VM of the product with the store and the targets around it. */
class Deployment
{
public:
    Deployment(const Arguments &arguments, Record &record);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment() { stop(); }

    /** Adds a target before start(). */
    Target &addTarget(Target::Work work, const std::string &service = "desk");
    Store &store() { return m_store; }
    /** @return the entry of a target in the table `servers`, with all of its fields. */
    std::string entryOf(const Target &target, const std::string &service, unsigned seq) const;
    /** Starts the process. @return whether it got ready. */
    bool start();
    bool isRunning();
    /** Ends the process. */
    void stop();
    /** @return kibibytes of memory that the process holds for itself, without its program files. */
    long privateMemory() const;
    /** Asks for readiness as the platform does. @return whether an answer came within a second. */
    bool probeReadiness();
    std::uint16_t callerPort() const { return m_callerPort; }

private:
    std::string settings() const;

    const Arguments m_arguments;
    Record &m_record;
    Store m_store;
    std::vector<std::unique_ptr<Target>> m_targets;
    const std::uint16_t m_callerPort;
    const std::uint16_t m_readyPort;
    std::atomic<int> m_pid = -1;
};

/** Ordinary callers on kept connections, and the platform's readiness questions. */
class CallerLoad
{
public:
    /** @param record what is noted: requests that are late, fail or are refused */
    CallerLoad(Deployment &deployment, Record &record)
        : m_deployment(deployment)
        , m_record(record)
    {}

    /** Sends requests of the safe route for a while. Each caller sends one every `intervalMs`. */
    void run(int callers, std::int64_t intervalMs, std::int64_t lengthMs);
    /** Writes a summary. @return whether the bound on unanswered requests was kept. */
    int conclude();

private:
    struct Sample
    {
        std::int64_t tookMs = 0;
        int status = 0;
    };

    void runCaller(int caller, std::int64_t intervalMs, std::int64_t untilMs);
    void runReadiness(std::int64_t untilMs);

    Deployment &m_deployment;
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Sample> m_samples;
    std::atomic<int> m_missedReadiness = 0;
};

/** Time that the route of CallerLoad gives a request; see config.json. */
constexpr std::int64_t routeTimeoutMs = 800;
/** Time that a caller waits. */
constexpr std::int64_t callerDeadlineMs = 1500;

/** Ends the program. Its threads are not waited for, as some wait for input. */
[[noreturn]] void endProgram(Deployment &deployment, int exitCode);

/** @return a request of a caller who waits for the time. */
std::string encodeRequest(const std::string &method, const std::string &path, const std::string &id,
                          std::int64_t deadlineMs = callerDeadlineMs, const std::string &body = {});

} // namespace Standin
