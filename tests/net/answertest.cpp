// Tests of bytes that are no answer, or only a part of one, in the place of an answer.
#include "rawserver.h"

#include "core/error.h"

using namespace currantlug;
using namespace currantlug::net;
using namespace currantlug::tests;

namespace {

/// Sends a request to a server with this answer and expects an error and neither a head nor a body.
void checkNoAnswer(const std::string &answer, bool bytewise = false)
{
    CAPTURE(answer, bytewise);
    Loop loop;
    RawServer server(loop, answer, AfterAnswer::Close);
    server.bytewise = bytewise;
    HttpClient client(loop);
    int parts = 0;
    std::optional<absl::Status> status;
    ClientHandlers handlers;
    handlers.onHead = [&parts](const HttpResponse &) { return ++parts > 0; };
    handlers.onBody = [&parts](std::string_view) { ++parts; };
    handlers.onDone = [&status](const absl::StatusOr<HttpResponse> &response) { status = response.status(); };
    client.call(peerOf(server.port()), request("/", "body"), {}, handlers);
    REQUIRE(runUntil(loop, [&status] { return status.has_value(); }));
    CHECK_FALSE(status->ok());
    CHECK(errorContext(*status).outcome == Outcome::MayHaveRun);
    CHECK(parts == 0);
}

} // namespace

// Guards against a status that no server sends, such as 000 of a replica in trouble, being passed on as an answer.
TEST_CASE("a status out of range is no answer, however its body is framed")
{
    for (const std::string status : {"000", "001", "099", "600", "999", "101"}) {
        checkNoAnswer("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody");
        checkNoAnswer("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody", true);
        checkNoAnswer("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\nbody");
        checkNoAnswer("HTTP/1.0 " + status + " Trouble\r\n\r\nbody");
        checkNoAnswer("HTTP/1.1 " + status + " Trouble\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        checkNoAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Trouble\r\nContent-Length: 0\r\n\r\n");
    }
    for (const std::string status : {"20", "2000", "+20", "-20", "2e1", "", "20 0"}) {
        checkNoAnswer("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody");
    }
}

// Guards against bytes that are still encoded, chunk sizes among them, being passed on as the body.
TEST_CASE("a body in an unknown transfer coding is no answer")
{
    for (const std::string coding : {"gzip", "chunked, gzip", "gzip, chunked", "identity", "chunked, chunked", "x"}) {
        checkNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    }
    Loop loop;
    RawServer server(loop, "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                     AfterAnswer::Keep);
    HttpClient client(loop);
    CHECK(ask(loop, client, peerOf(server.port()), request("/"))->body == "body");
}

// Guards against a field that one reader skips and another one obeys, such as a second length: the body then ends at
// another place than the peer's.
TEST_CASE("a head in which the name of a field isn't a token is no answer")
{
    std::vector<std::string> marks{" ", "\t", "\x01", "\x0b", "\x1f", "\x7f", "\xe9", "\"", "(", "/"};
    marks.emplace_back(1, '\0');
    for (const std::string &mark : marks) {
        for (const std::string field : {"X-Field", "Content-Length", "Transfer-Encoding"}) {
            const std::string value = field == "Transfer-Encoding" ? "chunked" : "4";
            const std::string split = field.substr(0, 3) + mark + field.substr(3);
            for (const std::string &name : {field + mark, split}) {
                checkNoAnswer("HTTP/1.1 200 OK\r\n" + name + ": " + value + "\r\n\r\nbody");
                checkNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": " + value + "\r\n\r\nbody");
                checkNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": " + value + "\r\n\r\nbody", true);
                checkNoAnswer("HTTP/1.1 103 Early\r\n" + name
                              + ": 4\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            }
        }
    }
    checkNoAnswer("HTTP/1.1 200 OK\r\n: empty\r\nContent-Length: 4\r\n\r\nbody");
    checkNoAnswer("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\nbody");
    checkNoAnswer("HTTP/1.1 200 OK\r\n X-Folded: first\r\nContent-Length: 4\r\n\r\nbody");
    checkNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 2\r\n\r\nbody");
    checkNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nbody");
    checkNoAnswer("HTTP/1.1 200 OK\r\nX-Field: a\x01z\r\nContent-Length: 4\r\n\r\nbody");
}

// The same in the trailers of a body in chunks, which come after the head was passed on: the answer must not be whole.
TEST_CASE("an answer with an unreadable trailer isn't complete")
{
    for (const std::string name : {"X Field", "X-Field ", "X\x01", ""}) {
        CAPTURE(name);
        Loop loop;
        RawServer server(
            loop, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + name + ": 1\r\n\r\n",
            AfterAnswer::Keep);
        HttpClient client(loop);
        CHECK_FALSE(ask(loop, client, peerOf(server.port()), request("/")).ok());
    }
}

// Guards against a part of an answer that is taken for the whole of it: the peer answered without a length before it
// had read the request, and reset the connection. The failed write took the socket's error, and the read saw an end.
TEST_CASE("an answer without a length isn't complete if its connection ends before the request was sent")
{
    const auto after = GENERATE(AfterAnswer::Reset, AfterAnswer::Close, AfterAnswer::HalfClose);
    const auto delay = GENERATE(absl::ZeroDuration(), absl::Milliseconds(50), absl::Milliseconds(300));
    // From a body that the buffers of the two sockets hold to one that they don't.
    const std::size_t bodyBytes = GENERATE(std::size_t{1} << 20, std::size_t{6} << 20, std::size_t{24} << 20);
    const std::string line = GENERATE("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 413 Too Large");
    CAPTURE(static_cast<int>(after), absl::ToInt64Milliseconds(delay), bodyBytes, line);
    Loop loop;
    RawServer server(loop, line + "\r\n\r\nfirst", after);
    server.delay = delay;
    HttpClient client(loop);
    const auto answer = ask(loop, client, peerOf(server.port()), request("/", std::string(bodyBytes, 'x')));
    REQUIRE_FALSE(answer.ok());
    CHECK(errorContext(answer.status()).outcome == Outcome::MayHaveRun);
}

// Guards against refusals that are lost: a peer may answer before it has read the body, and its answer shows its end.
TEST_CASE("an early answer with a length or in chunks is complete before the request was sent")
{
    const std::string answer =
        GENERATE("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    Loop loop;
    RawServer server(loop, answer, AfterAnswer::HalfClose);
    HttpClient client(loop);
    const auto result = ask(loop, client, peerOf(server.port()), request("/", std::string(24 << 20, 'x')));
    REQUIRE(result.ok());
    CHECK(result->status == 413);
    CHECK(result->body == "body");
}
