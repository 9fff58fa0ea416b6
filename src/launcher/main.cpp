// The program that is executed as currantlug-node. It holds signals back and then loads the product.
//
// No code of a process runs before its shared libraries are mapped and relocated, and a signal that arrives before then
// ends the process. This program needs the C library only, so that the signals are held back before the libraries of
// the product are loaded.
#include "launcher/heldsignals.h"

#include <cstdio>
#include <dlfcn.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace currantlug::launcher {

namespace {

constexpr const char *Library = "currantlug-node.so";
constexpr const char *EntryPoint = "currantlugNodeMain";
constexpr int LoadFailed = 3;

// Runs before the constructors of the shared libraries, and before a sanitizer is set up: hence the bare system call.
__attribute__((no_sanitize("address", "thread", "undefined"))) void holdSignals()
{
    const unsigned long held = heldSignalMask();
    syscall(SYS_rt_sigprocmask, SIG_BLOCK, &held, nullptr, sizeof held);
}

__attribute__((section(".preinit_array"), used)) void (*const holdSignalsAtStart)() = holdSignals;

} // namespace

} // namespace currantlug::launcher

int main(int argc, char **argv)
{
    using namespace currantlug::launcher;
    void *library = dlopen(Library, RTLD_NOW | RTLD_LOCAL);
    void *entry = library == nullptr ? nullptr : dlsym(library, EntryPoint);
    if (entry == nullptr) {
        std::fprintf(stderr, "currantlug-node: %s\n", dlerror());
        return LoadFailed;
    }
    return reinterpret_cast<int (*)(int, char **)>(entry)(argc, argv);
}
