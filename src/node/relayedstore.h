// Access to the object store through a peer while the store doesn't answer this node directly.
#ifndef CURRANTLUG_NODE_RELAYEDSTORE_H
#define CURRANTLUG_NODE_RELAYEDSTORE_H

#include "core/instant.h"
#include "node/peermesh.h"
#include "objects/objectport.h"

#include <functional>

namespace currantlug::node {

/// Converts an object to and from the form in which it is sent between nodes.
Json encodeObject(const objects::StoredObject &object);
objects::StoredObject decodeObject(const Json &value);

/// Outcome of a call that was made directly and then through a peer. A refusal of the second one doesn't undo what the
/// first may have done.
objects::StoreOutcome joinedOutcome(objects::StoreOutcome direct, objects::StoreOutcome throughPeer);

/// Tries a call directly and, if that fails, through a peer that reaches the store. While the store doesn't
/// answer this node, and for a while after a failed direct call, calls go only through a peer, if one reaches the
/// store. A call may thus be executed twice: it must be conditional or idempotent.
class RelayedStore
{
public:
    /// Name of the method in calls between nodes.
    static constexpr const char *Method = "store/call";

    RelayedStore(objects::ObjectPort direct, PeerMesh &mesh, std::function<bool()> storeReached);

    /// Port whose get, list, create and replace calls can be relayed. The other calls are always direct.
    /// Calls are relayed only by peers in these regions, since calls and replies may carry bodies of requests.
    objects::ObjectPort port(const serving::RegionSet &regions = {});

    /// Executes a call relayed by a peer. Returns false if the operation is unknown.
    static bool serve(const objects::ObjectPort &direct, const Json &body, std::function<void(Json)> reply);

private:
    using DirectCall = std::function<void(const objects::StoreCallback &)>;

    /// Tries the call directly or through a peer, as described for the class.
    void callWithFallback(const Json &call, const serving::RegionSet &regions, const DirectCall &direct,
                          objects::StoreCallback done);
    /// `directOutcome` is the outcome of the direct call, or Refused if none was made.
    void callThroughPeer(const std::string &peer, const Json &call, objects::StoreOutcome directOutcome,
                         objects::StoreCallback done);

    objects::ObjectPort direct_;
    PeerMesh &mesh_;
    std::function<bool()> storeReached_;
    Instant nextDirectCall_; ///< Until this time calls go through a peer, if one reaches the store.
};

} // namespace currantlug::node

#endif
