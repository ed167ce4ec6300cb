#include "Standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Standin {

namespace {

using Json = nlohmann::json;

/** Time for which a server waits for the next request on a connection. */
constexpr Milliseconds idleTime(600000);
constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                          "0123456789+/";

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/** Binds a socket to a free port. @return the port. */
std::uint16_t bindFreePort(int fd)
{
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), size) != 0)
        std::_Exit(couldNotRun);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::uint16_t findFreePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto port = bindFreePort(fd);
    ::close(fd);
    return port;
}

void sendAtOnce(int fd)
{
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    unsigned group = 0;
    unsigned bits = 0;
    for (const char c : bytes) {
        group = (group << 8U) | static_cast<unsigned char>(c);
        for (bits += 8; bits >= 6; bits -= 6)
            text += base64Digits[(group >> (bits - 6)) & 63U];
    }
    if (bits > 0)
        text += base64Digits[(group << (6 - bits)) & 63U];
    return text + std::string((4 - text.size() % 4) % 4, '=');
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    unsigned group = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const auto digit = base64Digits.find(c);
        if (digit == std::string_view::npos)
            break;
        group = (group << 6U) | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    for (const auto *separator : {"?", "&"}) {
        const auto at = target.find(separator + name + "=");
        if (at == std::string::npos)
            continue;
        const auto begin = at + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    return {};
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        line.erase(std::min(line.find('\r'), line.size()));
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = std::min(line.find(':'), line.size());
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto value = line.find_first_not_of(": \t", colon);
        message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return message;
}

} // namespace

std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start)
            .count();
}

std::optional<Arguments> Arguments::parse(int argc, char **argv)
{
    constexpr int minWords = 5;
    if (argc < minWords) {
        std::cerr << "usage: " << argv[0] << " DATA-FOLDER FOLDER RECORD PROGRAM [ARGUMENT...]\n";
        return std::nullopt;
    }
    Arguments arguments;
    arguments.dataFolder = argv[1];
    arguments.folder = argv[2];
    arguments.recordFile = argv[3];
    arguments.command.assign(argv + 4, argv + argc);
    const char *trouble = std::getenv("TROUBLE");
    arguments.hasTrouble = !trouble || std::string(trouble) != "0";
    return arguments;
}

Record::Record(const std::string &path)
    : m_fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{}

void Record::line(const std::string &text)
{
    const auto line = std::to_string(nowMs()) + " ms  " + text + "\n";
    const std::lock_guard lock(m_mutex);
    [[maybe_unused]] const auto n = ::write(m_fd, line.data(), line.size());
}

std::string Message::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::string Message::secondWord() const
{
    std::istringstream words(startLine);
    std::string word;
    words >> word >> word;
    return word;
}

int Message::status() const
{
    return static_cast<int>(std::strtol(secondWord().c_str(), nullptr, 10));
}

std::unique_ptr<Connection> Connection::open(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    sendAtOnce(fd);
    return std::make_unique<Connection>(fd);
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::size_t Connection::sendAvailable(std::string_view bytes)
{
    const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool Connection::fill(std::int64_t untilMs)
{
    pollfd entry{m_fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, untilMs - nowMs()))) <= 0)
        return false;
    std::array<char, 16384> part{};
    const auto n = ::recv(m_fd, part.data(), part.size(), 0);
    if (n <= 0)
        return false;
    m_input.append(part.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Connection::receive(Milliseconds timeout)
{
    const std::string headEnd = "\r\n\r\n";
    const auto until = nowMs() + timeout.count();
    std::size_t end = 0;
    while ((end = m_input.find(headEnd)) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    auto message = parseHead(m_input.substr(0, end));
    m_input.erase(0, end + headEnd.size());
    const auto size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (m_input.size() < size) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return message;
}

void Connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_port(bindFreePort(m_fd))
{
    constexpr int backlog = 1024;
    ::listen(m_fd, backlog);
    std::thread([this] { acceptAll(); }).detach();
}

void Server::acceptAll()
{
    while (true) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        sendAtOnce(fd);
        std::thread([this, fd] {
            Connection connection(fd);
            m_handler(connection);
        }).detach();
    }
}

Store::Store()
    : m_server([this](Connection &connection) { serve(connection); })
{}

bool Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    if (m_isAway)
        return false;
    m_tables[table][key] = {value, ++m_version};
    return true;
}

std::optional<std::string> Store::read(const std::string &table, std::optional<std::uint64_t> after)
{
    const std::lock_guard lock(m_mutex);
    auto rows = Json::array();
    for (const auto &[key, row] : m_tables[table]) {
        if (row.version > after.value_or(0))
            rows.push_back({{"table", table},
                            {"part", ""},
                            {"key", key},
                            {"value", encodeBase64(row.value)},
                            {"ver", row.version}});
    }
    if (after && rows.empty())
        return std::nullopt;
    return Json{{"rows", rows}, {"ver", m_version}, {"now_ms", nowMs()}, {"truncated", false}}
            .dump();
}

void Store::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copiedTables = m_tables;
    m_copiedVersion = m_version;
}

void Store::leave()
{
    m_isAway = true;
}

void Store::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_tables = m_copiedTables;
    m_version = m_copiedVersion;
    ++m_era;
    m_isAway = false;
}

Store::Answer Store::feed(const std::string &table, std::uint64_t after, std::int64_t waitMs)
{
    constexpr Milliseconds pollInterval(5);
    const auto until = nowMs() + waitMs;
    while (!m_isAway) {
        {
            const std::lock_guard lock(m_mutex);
            if (after > m_version)
                return {"410 Gone", "{}"};
        }
        if (const auto changes = read(table, after))
            return {"200 OK", *changes};
        if (nowMs() >= until)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    const std::lock_guard lock(m_mutex);
    return {"200 OK",
            Json{{"rows", Json::array()}, {"ver", m_version}, {"now_ms", nowMs()}}.dump()};
}

Store::Answer Store::transact(const std::string &body)
{
    const auto object = Json::parse(body, nullptr, false);
    for (const auto &it : object["puts"])
        put(it["table"], it["key"], decodeBase64(it["value"].get<std::string>()));
    const std::lock_guard lock(m_mutex);
    return {"200 OK", Json{{"ver", m_version}, {"now_ms", nowMs()}}.dump()};
}

Store::Answer Store::answer(const Message &request)
{
    const auto numberOf = [](const std::string &text) {
        return std::strtoll(text.c_str(), nullptr, 10);
    };
    const auto target = request.secondWord();
    const auto table = queryValue(target, "table");
    if (request.startLine.starts_with("POST "))
        return transact(request.body);
    const auto after = queryValue(target, "after");
    if (after.empty())
        return {"200 OK", read(table, std::nullopt).value_or("")};
    return feed(table, static_cast<std::uint64_t>(numberOf(after)),
                numberOf(queryValue(target, "wait_ms")));
}

std::uint64_t Store::era()
{
    const std::lock_guard lock(m_mutex);
    return m_era;
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.receive(idleTime)) {
        const Answer away{"503 Service Unavailable", "{}"};
        const auto eraBefore = era();
        auto reply = m_isAway ? away : answer(*request);
        // An answer must be of one era.
        if (m_isAway || era() != eraBefore)
            reply = away;
        if (!connection.send("HTTP/1.1 " + reply.status
                             + "\r\nstore-era: " + std::to_string(eraBefore)
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body))
            return;
    }
}

Target::Target(std::string id, Work work)
    : m_id(std::move(id))
    , m_work(std::move(work))
    , m_server([this](Connection &connection) { serve(connection); })
{}

std::string Target::head(const Message &request, const std::string &statusLine) const
{
    return "HTTP/1.1 " + statusLine + "\r\nattempt-id: " + request.field("attempt-id")
           + "\r\ninstance-id: " + m_id + "\r\nserver-load: 1,0,6,100\r\n";
}

std::string Target::success(const Message &request) const
{
    const std::string body = "done";
    auto text = head(request, "200 OK");
    if (m_isLeaving)
        text += "connection: close\r\n";
    return text + "server-signature: " + m_id + "\r\ncontent-length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

void Target::serve(Connection &connection)
{
    const std::string emptyBody = "content-length: 0\r\n\r\n";
    while (const auto request = connection.receive(idleTime)) {
        if (m_hasExited)
            return;
        if (request->secondWord() == "/health") {
            std::string text = "HTTP/1.1 ";
            text += m_isLeaving ? "503 Service Unavailable" : "200 OK";
            text.append("\r\ninstance-id: ").append(m_id);
            text.append("\r\nserver-load: 1,0,6,100\r\n").append(emptyBody);
            if (!connection.send(text))
                return;
            continue;
        }
        const auto expected = request->field("expect-instance");
        if (!expected.empty() && expected != m_id) {
            connection.send(head(*request, "421 Misdirected Request") + "not-executed: 1\r\n"
                            + emptyBody);
            return;
        }
        if (!m_work(connection, *request) || m_isLeaving)
            return;
    }
}

Deployment::Deployment(const Arguments &arguments, Record &record)
    : m_arguments(arguments)
    , m_record(record)
    , m_callerPort(findFreePort())
    , m_readyPort(findFreePort())
{
    m_store.put("op", "config", readFile(m_arguments.dataFolder + "/config.json"));
}

void Deployment::stop()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

Target &Deployment::addTarget(Target::Work work, const std::string &service)
{
    const auto id = "i-" + std::to_string(m_targets.size());
    m_targets.push_back(std::make_unique<Target>(id, std::move(work)));
    m_store.put("servers", id, entryOf(*m_targets.back(), service, 4));
    return *m_targets.back();
}

std::string Deployment::entryOf(const Target &target, const std::string &service,
                                unsigned seq) const
{
    auto entry = Json::parse(readFile(m_arguments.dataFolder + "/server.json"));
    entry["service"] = service;
    entry["address"] = target.address();
    entry["seq"] = seq;
    return entry.dump();
}

std::string Deployment::settings() const
{
    const auto endpoint = [](const std::string &name, std::uint16_t port) {
        return name + "_endpoint: \"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    return "vm: \"edge-z1-1\"\nzone: \"z1\"\n" + endpoint("caller", m_callerPort)
           + endpoint("ready", m_readyPort) + endpoint("metrics", findFreePort())
           + endpoint("relay", findFreePort()) + "platform_endpoint: \"" + m_store.address()
           + "\"\nchange_bound: \"2000ms\"\nrecovery_bound: \"3000ms\"\nstop_grace: \"6s\"\n"
             "first_start: false\nrepeat_ratio: 0.2\nrepeat_slack: 58\nrepeat_window: \"10s\"\n"
             "asks_per_target: 60\ncores: 0.2\nmax_descriptors: 4100\nmemory_mb: "
           + std::to_string(m_arguments.memoryMebibytes) + "\n";
}

bool Deployment::start()
{
    const auto settingsFile = m_arguments.folder + "/settings.yaml";
    const auto logFile = m_arguments.folder + "/log.txt";
    std::ofstream(settingsFile) << settings();
    const auto variable = "SAPPHIRELADDER_SETTINGS=" + settingsFile;
    std::vector<char *> argv;
    for (const auto &it : m_arguments.command)
        argv.push_back(const_cast<char *>(it.c_str()));
    argv.push_back(nullptr);
    char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(argv.front(), argv.data(), environment);
        ::_exit(127);
    }
    constexpr std::int64_t startTimeoutMs = 20000;
    constexpr Milliseconds settleTime(500);
    const auto until = nowMs() + startTimeoutMs;
    while (nowMs() < until && isRunning()) {
        const auto connection = Connection::open(m_readyPort);
        if (connection && connection->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            const auto answer = connection->receive(Milliseconds(1000));
            if (answer && answer->status() == 200) {
                std::this_thread::sleep_for(settleTime);
                return true;
            }
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    m_record.line("the process did not get ready");
    return false;
}

bool Deployment::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid > 0;
}

long Deployment::privateMemory() const
{
    const std::string name = "RssAnon:";
    const auto status = readFile("/proc/" + std::to_string(m_pid) + "/status");
    const auto at = status.find(name);
    return at == std::string::npos ? 0
                                   : std::strtol(status.c_str() + at + name.size(), nullptr, 10);
}

bool Deployment::probeReadiness()
{
    const auto connection = Connection::open(m_readyPort);
    return connection && connection->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
           && connection->receive(Milliseconds(1000));
}

void endProgram(Deployment &deployment, int exitCode)
{
    deployment.stop();
    std::cout.flush();
    std::_Exit(exitCode);
}

std::string encodeRequest(const std::string &method, const std::string &path, const std::string &id,
                          std::int64_t deadlineMs, const std::string &body)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nattempt-id: " + id
                + "\r\ndeadline-ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

void CallerLoad::runCaller(int caller, std::int64_t intervalMs, std::int64_t untilMs)
{
    std::unique_ptr<Connection> connection;
    for (int n = 0; nowMs() < untilMs; ++n) {
        const auto id = "c" + std::to_string(caller) + "-" + std::to_string(n);
        const auto sentAt = nowMs();
        if (!connection)
            connection = Connection::open(m_deployment.callerPort());
        Sample sample;
        if (connection && connection->send(encodeRequest("GET", "/check/x", id))) {
            const auto answer = connection->receive(Milliseconds(callerDeadlineMs));
            sample.status = answer ? answer->status() : 0;
            if (!answer || answer->field("connection") == "close")
                connection.reset();
        } else {
            connection.reset();
        }
        sample.tookMs = nowMs() - sentAt;
        if (sample.status != 200 || sample.tookMs >= routeTimeoutMs)
            m_record.line("caller sent " + id + " at " + std::to_string(sentAt) + ": "
                          + (sample.status ? std::to_string(sample.status) : "no answer")
                          + " after " + std::to_string(sample.tookMs) + " ms");
        {
            const std::lock_guard lock(m_mutex);
            m_samples.push_back(sample);
        }
        std::this_thread::sleep_for(
                Milliseconds(std::max<std::int64_t>(0, sentAt + intervalMs - nowMs())));
    }
}

void CallerLoad::runReadiness(std::int64_t untilMs)
{
    constexpr std::int64_t intervalMs = 1000;
    while (nowMs() < untilMs) {
        const auto begin = nowMs();
        if (!m_deployment.probeReadiness()) {
            ++m_missedReadiness;
            m_record.line("the platform asked for readiness: no answer within 1000 ms");
        }
        std::this_thread::sleep_for(
                Milliseconds(std::max<std::int64_t>(0, begin + intervalMs - nowMs())));
    }
}

void CallerLoad::run(int callers, std::int64_t intervalMs, std::int64_t lengthMs)
{
    const auto until = nowMs() + lengthMs;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers) + 1);
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([this, i, intervalMs, until] { runCaller(i, intervalMs, until); });
    threads.emplace_back([this, until] { runReadiness(until); });
    for (auto &it : threads)
        it.join();
}

int CallerLoad::conclude()
{
    // RULES.md, CONFIG: half a second after the route's timeout.
    constexpr std::int64_t finalAnswerMs = routeTimeoutMs + 500;
    constexpr std::ptrdiff_t minUnanswered = 8;
    const auto countLonger = [this](std::int64_t ms) {
        return std::count_if(m_samples.begin(), m_samples.end(),
                             [ms](const auto &it) { return it.tookMs >= ms; });
    };
    const auto succeeded = std::count_if(m_samples.begin(), m_samples.end(),
                                         [](const auto &it) { return it.status == 200; });
    const auto longer = countLonger(routeTimeoutMs);
    const auto unanswered = countLonger(finalAnswerMs);
    const bool isBroken = unanswered >= minUnanswered && 2 * unanswered > longer;
    std::ostringstream text;
    text << m_samples.size() << " requests of ordinary callers, " << succeeded
         << " answered with 200; " << longer << " unanswered at the route's timeout, " << unanswered
         << " of them without an answer half a second later; " << m_missedReadiness
         << " readiness questions unanswered; " << (isBroken ? "BROKEN" : "held");
    m_record.line(text.str());
    std::cout << text.str() << std::endl;
    return isBroken ? ruleBroken : ruleHeld;
}

} // namespace Standin
