#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>

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

namespace rig {

namespace {

constexpr std::string_view lineEnd = "\r\n";

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a))
                   == std::tolower(static_cast<unsigned char>(b));
           });
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t boundPort(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int bindTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        throw cannot_run("no port can be bound");
    return descriptor;
}

/** Returns distinct ports that are free now. */
std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<int> descriptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        descriptors.push_back(bindTo(0));
        ports.push_back(boundPort(descriptors.back()));
    }
    for (const int descriptor : descriptors)
        ::close(descriptor);
    return ports;
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(
                std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
            i += 2;
            continue;
        }
        decoded.push_back(text[i]);
    }
    return decoded;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    std::string rest = query == std::string::npos ? "" : target.substr(query + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, end);
        rest.erase(0, end + 1);
        if (pair.starts_with(name + "="))
            return decodePercent(pair.substr(name.size() + 1));
    }
    return "";
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

constexpr std::string_view base64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8)
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j <= bytes.size() ? base64Alphabet[(group >> (18 - 6 * j)) & 63]
                                                 : '=');
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char character : text) {
        const auto value = base64Alphabet.find(character);
        if (value == std::string_view::npos)
            break;
        group = (group << 6) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes.push_back(static_cast<char>((group >> bits) & 255));
    }
    return bytes;
}

std::string formatAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::string message::header(std::string_view name) const
{
    for (const header_field &field : headers) {
        if (equalsIgnoreCase(field.name, name))
            return field.value;
    }
    return "";
}

std::string message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string message::target() const
{
    const auto begin = startLine.find(' ');
    const auto end = startLine.rfind(' ');
    return begin == end ? "" : startLine.substr(begin + 1, end - begin - 1);
}

int message::status() const
{
    const auto begin = startLine.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(startLine.c_str() + begin + 1);
}

connection::~connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<connection> connection::dial(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto result = std::make_unique<connection>(descriptor);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        return nullptr;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return result;
}

bool connection::fill(steady::time_point until)
{
    const auto left = std::chrono::ceil<milliseconds>(until - steady::now()).count();
    pollfd entry{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(milliseconds timeout, bool isResponse)
{
    const auto until = steady::now() + timeout;
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    message result;
    const auto headEnd = m_buffer.find("\r\n\r\n");
    std::string head = m_buffer.substr(0, headEnd + 2);
    m_buffer.erase(0, headEnd + 4);
    result.startLine = head.substr(0, head.find(lineEnd));
    head.erase(0, result.startLine.size() + 2);
    while (!head.empty()) {
        const std::string line = head.substr(0, head.find(lineEnd));
        head.erase(0, line.size() + 2);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        result.headers.push_back({line.substr(0, colon), value});
    }
    const std::string length = result.header("Content-Length");
    if (length.empty()) {
        if (!isResponse)
            return result;
        while (fill(until)) { }
        result.body = std::exchange(m_buffer, {});
        return result;
    }
    const std::size_t size = number(length);
    while (m_buffer.size() < size) {
        if (!fill(until))
            return std::nullopt;
    }
    result.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return result;
}

std::string connection::readToEnd(milliseconds timeout)
{
    const auto until = steady::now() + timeout;
    while (fill(until)) { }
    return std::exchange(m_buffer, {});
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool connection::isClosedWithin(milliseconds time)
{
    pollfd entry{m_descriptor, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(time.count())) <= 0)
        return false;
    char byte = 0;
    return ::recv(m_descriptor, &byte, 1, MSG_PEEK) <= 0;
}

void connection::finish()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

server::server(handler onConnection, std::uint16_t port)
    : m_handler(std::move(onConnection))
    , m_descriptor(bindTo(port))
    , m_port(boundPort(m_descriptor))
{
    if (::listen(m_descriptor, 256) != 0)
        throw cannot_run("no port can be listened on");
    m_acceptor = std::thread([this] { acceptAll(); });
}

server::~server()
{
    stop();
    m_acceptor.join();
    ::close(m_descriptor);
    for (std::thread &thread : m_threads)
        thread.join();
}

void server::stop()
{
    m_isStopping = true;
    ::shutdown(m_descriptor, SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_open)
        ::shutdown(descriptor, SHUT_RDWR);
}

void server::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            ::close(descriptor);
            return;
        }
        m_open.insert(descriptor);
        m_threads.emplace_back([this, descriptor] {
            connection peer(descriptor);
            m_handler(peer);
            const std::lock_guard endLock(m_mutex);
            m_open.erase(descriptor);
        });
    }
}

store::store()
    : m_server(std::make_unique<server>([this](connection &peer) { serve(peer); }))
{ }

void store::put(const std::string &key, const std::string &value, std::uint64_t leaseId)
{
    const std::lock_guard lock(m_mutex);
    putLocked(key, value, leaseId);
}

void store::erase(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    eraseLocked(key);
}

json store::encode(const std::string &key, const item &entry)
{
    return {{"Key", key},
            {"Value", encodeBase64(entry.value)},
            {"Revision", entry.revision},
            {"CreateRev", entry.created},
            {"Lease", entry.lease}};
}

void store::putLocked(const std::string &key, const std::string &value, std::uint64_t leaseId)
{
    item &entry = m_items[key];
    entry.revision = ++m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    entry.value = value;
    entry.lease = leaseId;
    m_events.emplace_back(m_revision, encode(key, entry));
    m_changed.notify_all();
}

void store::eraseLocked(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_events.emplace_back(m_revision,
                          json{{"Key", key}, {"Revision", m_revision}, {"Deleted", true}});
    m_changed.notify_all();
}

void store::endLeases()
{
    for (auto entry = m_leases.begin(); entry != m_leases.end();) {
        if (entry->second.end > steady::now()) {
            ++entry;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, value] : m_items) {
            if (value.lease == entry->first)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            eraseLocked(key);
        entry = m_leases.erase(entry);
    }
}

void store::serve(connection &peer)
{
    while (const auto request = peer.read(300s)) {
        std::this_thread::sleep_for(4ms);
        if (!peer.write(answer(*request)))
            return;
    }
}

std::string store::answer(const message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-watch")
        return watch(target);
    const std::lock_guard lock(m_mutex);
    endLeases();
    if (path == "/kv-range")
        return range(target);
    if (path == "/kv-txn")
        return transact(request.body);
    if (path == "/kv-lease") {
        const milliseconds lifetime(json::parse(request.body).at("TtlMs").get<std::uint64_t>());
        m_leases[++m_lastLease] = {lifetime, steady::now() + lifetime};
        return formatAnswer(200, json{{"Lease", m_lastLease}, {"TtlMs", lifetime.count()}}.dump());
    }
    const std::uint64_t id = number(path.substr(path.rfind('/') + 1));
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return formatAnswer(404, "{}");
    const bool isRenewal = path.starts_with("/kv-keep/");
    found->second.end = steady::now() + (isRenewal ? found->second.lifetime : 0ms);
    endLeases();
    return formatAnswer(200, "{}");
}

std::string store::range(const std::string &target)
{
    const std::string prefix = parameter(target, "PathPrefix");
    const std::string after = parameter(target, "after");
    json items = json::array();
    for (const auto &[key, entry] : m_items) {
        if (key.starts_with(prefix) && key > after)
            items.push_back(encode(key, entry));
    }
    return formatAnswer(
        200, json{{"items", items}, {"MorePages", false}, {"CurrentRev", m_revision}}.dump());
}

std::string store::watch(const std::string &target)
{
    const std::uint64_t after = number(parameter(target, "after"));
    const std::string prefix = parameter(target, "PathPrefix");
    const auto until = steady::now() + milliseconds(number(parameter(target, "WaitMs")));
    std::unique_lock lock(m_mutex);
    while (true) {
        endLeases();
        json events = json::array();
        for (const auto &[revision, event] : m_events) {
            if (revision > after && event.at("Key").get<std::string>().starts_with(prefix))
                events.push_back(event);
        }
        if (!events.empty() || steady::now() >= until)
            return formatAnswer(200, json{{"events", events}, {"CurrentRev", m_revision}}.dump());
        m_changed.wait_until(lock, std::min(until, steady::now() + 100ms));
    }
}

std::string store::transact(const std::string &body)
{
    const json document = json::parse(body);
    for (const json &condition : document.at("ExpectedRev")) {
        const auto found = m_items.find(condition.at("Key").get<std::string>());
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != condition.at("Revision").get<std::uint64_t>())
            return formatAnswer(412, R"({"items":[]})");
    }
    for (const json &write : document.at("Writes")) {
        const auto leaseId = write.value("Lease", std::uint64_t{0});
        if (leaseId != 0 && !m_leases.contains(leaseId))
            return formatAnswer(404, "{}");
    }
    for (const json &write : document.at("Writes"))
        putLocked(write.at("Key").get<std::string>(),
                  decodeBase64(write.at("Value").get<std::string>()),
                  write.value("Lease", std::uint64_t{0}));
    for (const json &key : document.at("Deletes"))
        eraseLocked(key.get<std::string>());
    return formatAnswer(200, json{{"Revision", m_revision}}.dump());
}

record::~record()
{
    std::ofstream(m_file) << m_text;
}

void record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto time = std::chrono::floor<milliseconds>(steady::now() - m_begin).count();
    m_text += std::to_string(time) + " ms  " + line + "\n";
}

searcher::searcher(description about, record &log)
    : m_about(std::move(about))
    , m_log(log)
    , m_server(std::make_unique<server>([this](connection &peer) { serve(peer); }))
{ }

void searcher::setResponder(responder onRequest)
{
    const std::lock_guard lock(m_mutex);
    m_responder = std::move(onRequest);
}

void searcher::registerIn(store &keeper) const
{
    const auto born = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const json entry{{"Service", m_about.service},
                     {"Address", "127.0.0.1:" + std::to_string(m_server->port())},
                     {"Zone", m_about.zone},
                     {"ConfigVersion", "v1"},
                     {"MaxConcurrency", m_about.slots},
                     {"State", "ready"},
                     {"WarmupLeftMs", 0},
                     {"Sequence", 1},
                     {"born", born.count()}};
    keeper.put("servers/" + m_about.instance, entry.dump());
}

std::string searcher::goodAnswer(const message &request, const std::string &body) const
{
    const std::string id = request.header("X-Attempt-Id");
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: " + m_about.instance
        + "." + id + "\r\nX-Server-Load: 1,0," + std::to_string(m_about.slots)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void searcher::recordRun(const message &request)
{
    const std::string id = request.header("X-Attempt-Id");
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }
    m_log.add("searcher " + m_about.instance + " runs " + id);
}

std::map<std::string, int> searcher::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void searcher::serve(connection &peer)
{
    while (const auto request = peer.read(300s)) {
        const std::string expected = request->header("X-Expected-Instance");
        if (!expected.empty() && expected != m_about.instance) {
            peer.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                       + request->header("X-Attempt-Id")
                       + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        responder respond;
        {
            const std::lock_guard lock(m_mutex);
            respond = m_responder;
        }
        if (respond) {
            if (!respond(peer, *request))
                return;
            continue;
        }
        recordRun(*request);
        std::this_thread::sleep_for(5ms);
        if (!peer.write(goodAnswer(*request, "answer of " + m_about.instance)))
            return;
    }
}

host::host(const options &about)
{
    char pattern[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(pattern) == nullptr)
        throw cannot_run("no temporary folder can be made");
    m_folder = pattern;
    const std::vector<std::uint16_t> ports = freePorts(4);
    m_callerPort = ports[0];
    m_readinessPort = ports[1];
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const std::string settings = m_folder + "/boot.ini";
    // The values that the template of the deploy file gets in a small deployment.
    std::ofstream(settings) << "[host]\nid = " << about.name << "\ndata_centre = " << about.zone
                            << "\ncores = 0.25\ncore_speed = 1\n\n[listen]\ncaller = "
                            << address(ports[0]) << "\nreadiness = " << address(ports[1])
                            << "\nmetrics = " << address(ports[2])
                            << "\nrelay = " << address(ports[3])
                            << "\n\n[network]\nlink_mbit_per_s = 1000.0\n\n[store]\naddress = "
                            << address(about.storePort)
                            << "\n\n[retries]\nratio = 0.2\nextra = 54\n\n[times]\n"
                               "stop_grace = 6s\nother_data_centre_penalty = 15ms\n";
    const std::string logFile = m_folder + "/log";
    int output = about.output;
    if (output < 0)
        output = ::open(logFile.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    const std::string argument = "--settings=" + settings;
    m_process = ::fork();
    if (m_process < 0)
        throw cannot_run("no process can be started");
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::execl(about.program.c_str(), about.program.c_str(), argument.c_str(), nullptr);
        ::_exit(127);
    }
    if (about.output < 0)
        ::close(output);
}

host::~host()
{
    if (isRunning()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
    for (const char *name : {"/boot.ini", "/log"})
        ::unlink((m_folder + name).c_str());
    ::rmdir(m_folder.c_str());
}

bool host::isRunning()
{
    int status = 0;
    if (!m_hasEnded && ::waitpid(m_process, &status, WNOHANG) == m_process)
        m_hasEnded = true;
    return !m_hasEnded;
}

bool host::isReady() const
{
    const auto probe = connection::dial(m_readinessPort);
    if (!probe || !probe->write("GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n"))
        return false;
    const auto answer = probe->read(1s, true);
    return answer && answer->status() == 200;
}

void host::awaitReady()
{
    const auto until = steady::now() + 20s;
    while (!isReady()) {
        if (steady::now() > until || !isRunning())
            throw cannot_run("a host does not become ready");
        std::this_thread::sleep_for(50ms);
    }
}

std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        milliseconds budget, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: search.example\r\nX-Attempt-Id: "
        + id + "\r\nX-Time-Budget-Ms: " + std::to_string(budget.count()) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

json makeRoute(const std::string &name, const std::string &type, const std::string &service)
{
    return {{"Name", name},      {"Host", "search.example"}, {"PathPrefix", "/" + name + "/"},
            {"RouteType", type}, {"TimeoutMs", 1500},        {"TargetLatencyMs", 250},
            {"Priority", 2},     {"MaxAttempts", 2},         {"Service", service}};
}

json makeService(const std::string &name, int connections)
{
    return {{"Name", name},
            {"HealthPath", "/health"},
            {"MaxConnections", connections},
            {"WarmupPerS", 20}};
}

std::string makeConfiguration(std::uint64_t version, const json &routes, const json &services)
{
    return json{{"ConfigVersion", version},
                {"Routes", routes},
                {"Services", services},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 65536},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}}}
        .dump();
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

int run(int argc, char **argv, int (*play)(const std::string &program, record &log))
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " DAEMON RECORD\n";
        return CannotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record log(argv[2]);
    log.add(std::string("the disruption is ") + (hasTrouble() ? "on" : "off"));
    try {
        const int code = play(argv[1], log);
        log.add(code == Broken ? "the rule was broken" : "the rule held");
        return code;
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        log.add(std::string("the case cannot run: ") + failure.what());
        return CannotRun;
    }
}

} // namespace rig
