// Sockets, parsing and serialization of messages.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

bool sameName(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + text);
    }
    return address;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int remainingMs(std::chrono::steady_clock::time_point until)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
}

} // namespace

std::string Message::header(std::string_view name) const
{
    for (const auto &[field, value] : headers) {
        if (sameName(field, name)) {
            return value;
        }
    }
    return {};
}

std::vector<std::string> Message::values(std::string_view name) const
{
    std::vector<std::string> found;
    for (const auto &[field, value] : headers) {
        if (sameName(field, name)) {
            found.push_back(value);
        }
    }
    return found;
}

std::string Message::path() const
{
    return target.substr(0, target.find('?'));
}

std::string Message::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size()) {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::string part = target.substr(at, end - at);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos && part.substr(0, equals) == name) {
            return part.substr(equals + 1);
        }
        at = end + 1;
    }
    return {};
}

Connection::~Connection()
{
    close(descriptor_);
}

bool Connection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill(int timeoutMs)
{
    pollfd ready{descriptor_, POLLIN, 0};
    if (poll(&ready, 1, timeoutMs) <= 0) {
        return false;
    }
    char bytes[65536];
    const ssize_t got = recv(descriptor_, bytes, sizeof bytes, 0);
    if (got <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
}

bool Connection::read(Message &message, bool response, int timeoutMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    message = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(remainingMs(until))) {
            return false;
        }
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const std::size_t space = first.find(' ');
    if (response) {
        message.status = static_cast<int>(std::strtol(first.c_str() + space, nullptr, 10));
    } else {
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    at += 2;
    while (at < head.size()) {
        const std::size_t lineEnd = head.find("\r\n", at);
        const std::string line = head.substr(at, lineEnd - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        at = lineEnd + 2;
    }
    if (sameName(message.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(remainingMs(until))) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!fill(remainingMs(until))) {
                    return false;
                }
            }
            message.body += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!fill(remainingMs(until))) {
            return false;
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

bool Connection::peerClosed() const
{
    pollfd ready{descriptor_, POLLIN, 0};
    if (poll(&ready, 1, 0) <= 0) {
        return false;
    }
    char byte = 0;
    return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 || (ready.revents & (POLLHUP | POLLERR)) != 0;
}

bool Connection::skip(std::size_t bytes, int timeoutMs)
{
    if (buffer_.empty() && !fill(timeoutMs)) {
        return false;
    }
    buffer_.erase(0, bytes);
    return true;
}

std::string encodeResponse(int status, const Headers &headers, const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

Server::Server(std::string address, Handler handler)
    : address_(std::move(address))
    , handler_(std::move(handler))
{
    const sockaddr_in endpoint = parseAddress(address_);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener_, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
        || listen(listener_, 512) != 0) {
        throw std::runtime_error("can't listen at " + address_);
    }
    acceptor_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
}

void Server::accept()
{
    while (!stopped_) {
        pollfd ready{listener_, POLLIN, 0};
        if (poll(&ready, 1, 50) <= 0) {
            continue;
        }
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        setNoDelay(descriptor);
        const std::lock_guard lock(mutex_);
        open_[descriptor] = true;
        threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    Message request;
    bool goesOn = true;
    while (goesOn && !stopped_ && connection.read(request, false, 600'000)) {
        goesOn = handler_(request, connection);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(descriptor);
}

void Server::stop()
{
    if (stopped_.exchange(true)) {
        return;
    }
    acceptor_.join();
    close(listener_);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &entry : open_) {
            shutdown(entry.first, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

std::unique_ptr<Connection> dial(const std::string &address)
{
    const sockaddr_in endpoint = parseAddress(address);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    setNoDelay(descriptor);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        return nullptr;
    }
    return connection;
}

std::string encodeRequest(const std::string &method, const std::string &target, const Headers &headers,
                          const std::string &body)
{
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        request.append(name).append(": ").append(value).append("\r\n");
    }
    if (!body.empty() || method == "POST") {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return request + "\r\n" + body;
}

Message call(const std::string &address, const std::string &method, const std::string &target, const Headers &headers,
             const std::string &body, int timeoutMs)
{
    Message response;
    const auto connection = dial(address);
    if (connection == nullptr) {
        return response;
    }
    Headers all = headers;
    all.emplace_back("Connection", "close");
    if (!connection->write(encodeRequest(method, target, all, body)) || !connection->read(response, true, timeoutMs)) {
        response = {};
    }
    return response;
}

} // namespace review
