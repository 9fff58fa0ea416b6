// The kinds of configuration objects, so that code which treats them alike is written once.
#ifndef CURRANTLUG_CONFIG_OBJECTKINDS_H
#define CURRANTLUG_CONFIG_OBJECTKINDS_H

#include "config/ticket.h"

namespace currantlug::config::detail {

/// Calls f(name of the kind, member of ObjectSet, member of RemovalSet) for each kind.
template<class F>
void forEachKind(F &&f)
{
    f("workspaces", &ObjectSet::workspaces, &RemovalSet::workspaces);
    f("keys", &ObjectSet::keys, &RemovalSet::keys);
    f("routes", &ObjectSet::routes, &RemovalSet::routes);
    f("pools", &ObjectSet::pools, &RemovalSet::pools);
    f("model_versions", &ObjectSet::modelVersions, &RemovalSet::modelVersions);
}

} // namespace currantlug::config::detail

#endif
