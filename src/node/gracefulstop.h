// Graceful stop of a node. The node is no longer listed in answers to address queries, so that clients turn to other
// nodes. It lets open requests finish and their answers leave within the grace period, and then hands its usage counts
// over to a peer.
#ifndef CURRANTLUG_NODE_GRACEFULSTOP_H
#define CURRANTLUG_NODE_GRACEFULSTOP_H

#include "net/httpserver.h"
#include "node/node.h"

#include <functional>

namespace currantlug::node {

class GracefulStop
{
public:
    /// The process is killed `grace` after the stop began. `node` and `front` must outlive this object.
    GracefulStop(net::Loop &loop, Node &node, net::HttpServer &front, absl::Duration grace);

    /// Starts the stop and calls `done` when the process may exit. Must be called only once.
    void begin(std::function<void()> done);
    bool begun() const { return done_ != nullptr; }

private:
    void awaitDrained();

    net::Loop &loop_;
    Node &node_;
    net::HttpServer &front_;
    absl::Duration grace_;
    Instant exitDeadline_;
    std::function<void()> done_; ///< Empty until the stop has begun.
};

} // namespace currantlug::node

#endif
