// The object store client against the platform stand-in over real HTTP.
#include "core/instant.h"
#include "platform/httpclient.h"
#include "platform/httpobjectstore.h"
#include "standins/platformstandin.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace currantlug;
using namespace currantlug::platform;
using standins::FaultKind;
using standins::PlatformStandin;

namespace {

struct Fixture
{
    PlatformStandin platform;
    HttpObjectStoreSettings settings;

    Fixture()
    {
        REQUIRE(platform.start().ok());
        settings.port = platform.port();
    }
};

/// A TCP server that answers each connection's first bytes with fixed ones and keeps the connection open.
class RawServer
{
public:
    explicit RawServer(std::string answer)
        : answer_(std::move(answer))
        , listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(::bind(listener_, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(::listen(listener_, 8) == 0);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        port = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }

    ~RawServer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    int port = 0;

private:
    void run()
    {
        std::vector<int> open;
        for (int socket = ::accept(listener_, nullptr, nullptr); socket >= 0;
             socket = ::accept(listener_, nullptr, nullptr)) {
            char request[4096];
            if (::recv(socket, request, sizeof(request), 0) > 0) {
                ::send(socket, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            }
            open.push_back(socket);
        }
        for (const int socket : open) {
            ::close(socket);
        }
    }

    std::string answer_;
    int listener_;
    std::thread thread_;
};

std::string okAnswer(const std::string &body, const std::string &extra = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body + extra;
}

} // namespace

TEST_CASE_METHOD(Fixture, "a write at an old version is refused without effect", "[platform]")
{
    HttpObjectStore store(settings);
    const std::string key = "config/tickets/0000000001 %?#\xc3\xa9";
    const auto first = store.putIf(key, CreateOnly, "one");
    REQUIRE(first.ok());
    CHECK(store.putIf(key, CreateOnly, "two").status().code() == absl::StatusCode::kAborted);
    CHECK(store.putIf(key, *first + 1, "two").status().code() == absl::StatusCode::kAborted);
    CHECK(store.get(key)->value == "one");
    const auto second = store.putIf(key, *first, "two");
    REQUIRE(second.ok());
    CHECK(store.removeIf(key, *first).code() == absl::StatusCode::kAborted);
    CHECK(store.list("config/")->objects.size() == 1);
    CHECK(store.removeIf(key, *second).ok());
    CHECK(store.get(key).status().code() == absl::StatusCode::kNotFound);
    CHECK(store.idleConnections() == 1);
}

TEST_CASE_METHOD(Fixture, "a value above the limit is invalid, one at the limit is stored", "[platform]")
{
    HttpObjectStore store(settings);
    CHECK(store.putIf("a", CreateOnly, std::string((1 << 20) + 1, 'x')).status().code()
          == absl::StatusCode::kInvalidArgument);
    REQUIRE(store.putIf("a", CreateOnly, std::string(1 << 20, 'x')).ok());
    CHECK(store.get("a")->value.size() == 1 << 20);
}

TEST_CASE_METHOD(Fixture, "failures after the request was sent never claim that it did not run", "[platform]")
{
    settings.callTimeout = absl::Milliseconds(100);
    HttpObjectStore store(settings);
    const auto version = store.putIf("a", CreateOnly, "0");
    REQUIRE(version.ok());
    const FaultKind kind = GENERATE(FaultKind::LoseAnswer, FaultKind::Hang, FaultKind::Fail);
    platform.addFault({.kind = kind, .pathPrefix = "/v1/objects/a"});
    const auto result = store.putIf("a", *version, "1");
    CAPTURE(nameOf(kind));
    CHECK(result.status().code() == absl::StatusCode::kUnavailable);
    CHECK(errorContext(result.status()).outcome == Outcome::MayHaveRun);
    CHECK(store.idleConnections() == (kind == FaultKind::Fail ? 1 : 0));
    CHECK(store.get("a")->value == (kind == FaultKind::LoseAnswer ? "1" : "0"));
}

TEST_CASE("a call that never connects did not run", "[platform]")
{
    HttpObjectStoreSettings settings;
    {
        PlatformStandin gone;
        REQUIRE(gone.start().ok());
        settings.port = gone.port();
    }
    HttpObjectStore store(settings);
    CHECK(errorContext(store.putIf("a", CreateOnly, "0").status()).outcome == Outcome::NotRun);
}

TEST_CASE_METHOD(Fixture, "a restarted store gets new connections instead of dead pooled ones", "[platform]")
{
    HttpObjectStore store(settings);
    REQUIRE(store.putIf("a", CreateOnly, "0").ok());
    platform.stop();
    REQUIRE(platform.start().ok());
    HttpObjectStoreSettings moved = settings;
    moved.port = platform.port();
    CHECK(errorContext(store.get("a").status()).outcome == Outcome::NotRun);
    CHECK(HttpObjectStore(moved).get("a")->value == "0");
}

TEST_CASE("an answer for another key, or with bytes after its end, costs the connection", "[platform]")
{
    // Reusing either connection would give a later call the wrong answer.
    const std::string right = R"({"key":"a","version":1,"value":"x"})";
    const std::string wrong = R"({"key":"b","version":1,"value":"x"})";
    SECTION("other key")
    {
        RawServer server(okAnswer(wrong));
        HttpObjectStore store({.port = server.port});
        CHECK(store.get("a").status().code() == absl::StatusCode::kUnavailable);
        CHECK(store.idleConnections() == 0);
    }
    SECTION("bytes after the end")
    {
        RawServer server(okAnswer(right, okAnswer(wrong)));
        HttpObjectStore store({.port = server.port});
        CHECK(store.get("a").ok());
        CHECK(store.idleConnections() == 0);
    }
    SECTION("cut short")
    {
        RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + right);
        HttpObjectStore store({.port = server.port, .callTimeout = absl::Milliseconds(100)});
        CHECK(errorContext(store.get("a").status()).outcome == Outcome::MayHaveRun);
    }
}

TEST_CASE("a peer that stops reading does not hold a large write beyond its deadline", "[platform]")
{
    // A blocking send would wait for cpp-httplib's socket timeout of 5 s, longer than the deadline.
    RawServer server("");
    HttpClient client({.port = server.port, .callTimeout = absl::Milliseconds(200)});
    // The body is made before the measurement: encoding 32 MiB as JSON takes over 3 s under the address sanitizer.
    const HttpCall call{.method = "PUT", .target = "/v1/objects/a", .body = std::string(32 << 20, 'x')};
    const Instant start = monotonicNow();
    const auto result = client.call(call, Step::Store);
    CHECK(errorContext(result.status()).outcome == Outcome::MayHaveRun);
    CHECK(monotonicNow() - start < absl::Seconds(4));
}

TEST_CASE_METHOD(Fixture, "a watch ends with the first change, and with 410 when its revision is compacted",
                 "[platform]")
{
    HttpObjectStore store(settings);
    const std::uint64_t revision = store.list("")->revision;
    std::thread writer([&] {
        REQUIRE(store.putIf("other", CreateOnly, "x").ok());
        REQUIRE(store.putIf("config/head", CreateOnly, "1").ok());
    });
    const auto batch = store.watch("config/", revision, absl::Seconds(20));
    writer.join();
    REQUIRE(batch.ok());
    REQUIRE(batch->events.size() == 1);
    CHECK(batch->events[0].object.value == "1");
    CHECK(store.watch("config/", batch->revision, absl::Milliseconds(1))->events.empty());

    PlatformStandin small({.watchHistory = 1});
    REQUIRE(small.start().ok());
    HttpObjectStore other({.port = small.port()});
    REQUIRE(other.putIf("a", CreateOnly, "1").ok());
    REQUIRE(other.putIf("b", CreateOnly, "1").ok());
    CHECK(other.watch("", 0, absl::ZeroDuration()).status().code() == absl::StatusCode::kOutOfRange);
}

TEST_CASE_METHOD(Fixture, "concurrent writers lose no update", "[platform]")
{
    HttpObjectStore store(settings);
    REQUIRE(store.putIf("n", CreateOnly, "0").ok());
    std::vector<std::thread> writers;
    for (int i = 0; i < 4; ++i) {
        writers.emplace_back([&] {
            for (int done = 0; done < 20;) {
                const StoredObject seen = *store.get("n");
                done += store.putIf("n", seen.version, std::to_string(std::stoi(seen.value) + 1)).ok() ? 1 : 0;
            }
        });
    }
    for (std::thread &writer : writers) {
        writer.join();
    }
    CHECK(store.get("n")->value == "80");
}
