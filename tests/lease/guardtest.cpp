// The deadline guard against a process that is stopped between its check and its send.
#include "lease/deadlineguard.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <optional>
#include <thread>

using namespace currantlug;
using namespace currantlug::lease;

namespace {

struct Listener
{
    Listener()
    {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(descriptor, 1) == 0);
        REQUIRE(getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    }
    ~Listener() { close(descriptor); }

    int connectTo() const
    {
        const int client = socket(AF_INET, SOCK_STREAM, 0);
        return connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 ? client : -1;
    }
    int acceptOne() const { return accept(descriptor, nullptr, nullptr); }

    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
};

// What arrives until the sender closes.
std::string readAll(int descriptor)
{
    std::string received;
    char buffer[16];
    for (ssize_t count = 0; (count = read(descriptor, buffer, sizeof(buffer))) > 0;) {
        received.append(buffer, static_cast<std::size_t>(count));
    }
    close(descriptor);
    return received;
}

void waitUntil(Instant deadline)
{
    while (monotonicNow() < deadline) {
        poll(nullptr, 0, 1);
    }
}

// A lease holder that is stopped after its check. Ends with _exit, so that nothing of the test program runs twice.
[[noreturn]] void holdAndSend(const Listener &listener, bool guarded)
{
    const Instant deadline = monotonicNow() + absl::Milliseconds(500);
    const int client = listener.connectTo();
    std::optional<DeadlineGuard> guard;
    if (guarded) {
        guard.emplace(deadline);
        guard->attachSocket(client);
    }
    if (client < 0 || monotonicNow() >= deadline) {
        _exit(2); // Too slow to reach the check in time; the test reports it.
    }
    kill(getpid(), SIGSTOP);
    const bool sent = send(client, "order", 5, MSG_NOSIGNAL) == 5;
    const bool noticed = guarded && guard->expired();
    _exit(sent ? 0 : (noticed ? 1 : 3));
}

// Returns what the receiver got; `sent` tells whether the child's send succeeded.
std::string stopPastDeadline(bool guarded, bool &sent)
{
    const Listener listener;
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        holdAndSend(listener, guarded);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, WUNTRACED) == child);
    REQUIRE(WIFSTOPPED(status)); // Otherwise the child missed its own deadline before the check.
    waitUntil(monotonicNow() + absl::Milliseconds(600));
    REQUIRE(kill(child, SIGCONT) == 0);
    std::string received = readAll(listener.acceptOne());
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    sent = WEXITSTATUS(status) == 0;
    CHECK((sent || WEXITSTATUS(status) == 1));
    return received;
}

} // namespace

TEST_CASE("a holder stopped past its deadline sends nothing", "[lease]")
{
    // Guards against an order from a former holder at a receiver that ignores fencing tokens.
    for (int round = 0; round < 3; ++round) {
        bool sent = true;
        CHECK(stopPastDeadline(true, sent).empty());
        CHECK_FALSE(sent);
    }
}

TEST_CASE("without the guard the stopped holder does send", "[lease]")
{
    // Guards against a test above that passes because the pause was too short or the send never worked.
    bool sent = false;
    CHECK(stopPastDeadline(false, sent) == "order");
    CHECK(sent);
}

TEST_CASE("a guard lets everything through before its deadline and nothing after it", "[lease]")
{
    const Listener listener;
    const int client = listener.connectTo();
    const int server = listener.acceptOne();
    {
        DeadlineGuard guard(monotonicNow() + absl::Seconds(60));
        guard.attachSocket(client);
        CHECK(send(client, "a", 1, MSG_NOSIGNAL) == 1);
        CHECK_FALSE(guard.expired());
    }
    {
        const Instant deadline = monotonicNow() + absl::Milliseconds(20);
        DeadlineGuard guard(deadline);
        waitUntil(deadline + absl::Milliseconds(50));
        CHECK(guard.expired());
        // Attaching after the deadline must cut the socket as well.
        guard.attachSocket(client);
        CHECK(send(client, "b", 1, MSG_NOSIGNAL) < 0);
    }
    close(client);
    CHECK(readAll(server) == "a");
}

TEST_CASE("guards cut only their own socket, in their own thread", "[lease]")
{
    // Guards against a deadline that cuts an order of another lease, and against signals for guards that are gone.
    const Listener listener;
    const int inner = listener.connectTo();
    const int outer = listener.connectTo();
    DeadlineGuard outerGuard(monotonicNow() + absl::Seconds(60));
    outerGuard.attachSocket(outer);
    {
        DeadlineGuard innerGuard(monotonicNow() + absl::Milliseconds(10));
        innerGuard.attachSocket(inner);
        std::thread([] { DeadlineGuard passed(monotonicNow() - absl::Seconds(1)); }).join();
        waitUntil(monotonicNow() + absl::Milliseconds(50));
        CHECK(innerGuard.expired());
    }
    for (int i = 0; i < 200; ++i) {
        // Ends while its timer expires, so that the signal may be pending when the guard goes.
        DeadlineGuard brief(monotonicNow() + absl::Microseconds(i));
        brief.attachSocket(inner);
    }
    CHECK_FALSE(outerGuard.expired());
    CHECK(send(inner, "x", 1, MSG_NOSIGNAL) < 0);
    CHECK(send(outer, "x", 1, MSG_NOSIGNAL) == 1);
    close(inner);
    close(outer);
}

TEST_CASE("a deadline that passes before connecting still blocks the send", "[lease]")
{
    // Guards against a guard attached to a fresh socket: shutdown on it fails, and connecting must not revive it.
    const Listener listener;
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    DeadlineGuard guard(monotonicNow() - absl::Seconds(1));
    guard.attachSocket(client);
    const bool connected =
        connect(client, reinterpret_cast<const sockaddr *>(&listener.address), sizeof(listener.address)) == 0;
    CHECK_FALSE((connected && send(client, "x", 1, MSG_NOSIGNAL) == 1));
    close(client);
}
