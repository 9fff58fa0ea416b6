// The end of a node that was asked to stop: clients are sent elsewhere, open requests finish, counts are handed over.
#ifndef CURRANTLUG_NODE_GRACEFULSTOP_H
#define CURRANTLUG_NODE_GRACEFULSTOP_H

#include "net/httpserver.h"
#include "node/node.h"

#include <functional>

namespace currantlug::node {

class GracefulStop
{
public:
    /// The process is killed `grace` after the stop began. Node and server must outlive the stop.
    GracefulStop(net::Loop &loop, Node &node, net::HttpServer &front, absl::Duration grace);

    /// Calls `done` when the process may end. Call once.
    void begin(std::function<void()> done);
    bool begun() const { return done_ != nullptr; }

private:
    void awaitDrained();

    net::Loop &loop_;
    Node &node_;
    net::HttpServer &front_;
    absl::Duration grace_;
    Instant exitDeadline_;
    std::function<void()> done_; ///< Empty before the stop.
};

} // namespace currantlug::node

#endif
