// The object store through another node, while the store doesn't answer this one itself.
#ifndef CURRANTLUG_NODE_RELAYEDSTORE_H
#define CURRANTLUG_NODE_RELAYEDSTORE_H

#include "core/instant.h"
#include "node/peermesh.h"
#include "objects/objectport.h"

#include <functional>

namespace currantlug::node {

/// An object as it is passed between nodes.
Json encodeObject(const objects::StoredObject &object);
objects::StoredObject decodeObject(const Json &value);

/// A call is made directly first, then through a peer that reaches the store; directly last for a while after a
/// failure. Calls may thus be done twice: they must be conditional or harmless when repeated.
class RelayedStore
{
public:
    /// Method of the call between nodes.
    static constexpr const char *Method = "store/call";

    RelayedStore(objects::ObjectPort direct, PeerMesh &mesh, std::function<bool()> storeReached);

    /// get, list, create and replace are relayed; the other calls are direct.
    objects::ObjectPort port();

    /// Serves another node's call. False if it can't be read.
    static bool serve(const objects::ObjectPort &direct, const Json &body, std::function<void(Json)> reply);

private:
    using DirectCall = std::function<void(const objects::StoreCallback &)>;

    void callWithFallback(const Json &call, const DirectCall &direct, objects::StoreCallback done);
    void callThroughPeer(const std::string &peer, const Json &call, objects::StoreOutcome directOutcome,
                         objects::StoreCallback done);

    objects::ObjectPort direct_;
    PeerMesh &mesh_;
    std::function<bool()> storeReached_;
    Instant nextDirectCall_; ///< Calls go through another node until then.
};

} // namespace currantlug::node

#endif
