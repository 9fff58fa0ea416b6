// Decorator of an object port for tests: decides when calls are made and what their callers are told.
#ifndef CURRANTLUG_TESTS_FAKES_INTERCEPTEDPORT_H
#define CURRANTLUG_TESTS_FAKES_INTERCEPTEDPORT_H

#include "objects/objectport.h"

#include <functional>
#include <string>
#include <utility>

namespace currantlug::tests {

/// Makes the call and passes its reply on.
using StoreCall = std::function<void(objects::StoreCallback)>;
/// Receives each get, create and replace in place of the store.
using Interceptor =
    std::function<void(const std::string &op, const std::string &kind, StoreCall call, objects::StoreCallback done)>;

inline objects::ObjectPort interceptedPort(const objects::ObjectPort &inner, const Interceptor &intercept)
{
    objects::ObjectPort port = inner;
    port.get = [inner, intercept](const std::string &kind, const std::string &name, objects::StoreCallback done) {
        intercept(
            "get", kind, [inner, kind, name](objects::StoreCallback then) { inner.get(kind, name, std::move(then)); },
            std::move(done));
    };
    port.create = [inner, intercept](const std::string &kind, const std::string &name, const Json &value,
                                     objects::StoreCallback done) {
        intercept(
            "create", kind,
            [inner, kind, name, value](objects::StoreCallback then) {
                inner.create(kind, name, value, std::move(then));
            },
            std::move(done));
    };
    port.replace = [inner, intercept](const std::string &kind, const std::string &name, std::uint64_t revision,
                                      const Json &value, objects::StoreCallback done) {
        intercept(
            "replace", kind,
            [inner, kind, name, revision, value](objects::StoreCallback then) {
                inner.replace(kind, name, revision, value, std::move(then));
            },
            std::move(done));
    };
    return port;
}

} // namespace currantlug::tests

#endif
