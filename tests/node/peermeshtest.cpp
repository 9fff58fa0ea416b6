// Tests of the handling of unreadable calls between nodes.
#include "node/peermesh.h"

#include "fakes/runloop.h"

#include <catch2/catch.hpp>

using namespace currantlug;
using namespace currantlug::tests;

// Guards against a crash of the process by malformed CBOR: a body can announce a container larger than any memory, for
// which the parser throws.
TEST_CASE("an unreadable call of a peer is refused")
{
    net::Loop loop;
    net::HttpClient client(loop);
    node::PeerMesh mesh(loop, client, {}, [] { return node::NodeInfo{}; });
    net::HttpServer server(loop, [&mesh](const net::ServerCallPtr &call) { mesh.serve(call); });
    REQUIRE(server.listen(net::Endpoint(boost::asio::ip::address_v4::loopback(), 0)).ok());
    const std::string peer = "127.0.0.1:" + std::to_string(server.port());
    for (const std::string &body :
         {std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9), std::string(100000, '\x81'), std::string("\xff")}) {
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/peer/sync";
        request.headers.add("Host", peer);
        request.body = body;
        int status = 0;
        net::ClientHandlers handlers;
        handlers.onDone = [&status](const absl::StatusOr<net::HttpResponse> &response) {
            status = response.ok() ? response->status : -1;
        };
        client.call(peer, request, {}, std::move(handlers));
        REQUIRE(runUntil(loop, [&status] { return status != 0; }));
        CHECK(status == 400);
    }
}
