// The program that is executed as currantlug-node. It holds signals back and then loads the product.
//
// No code of a process runs before its shared libraries are mapped and relocated, and a signal that arrives before then
// ends the process. This program needs the C library only, so that the signals are held back before the libraries of
// the product are loaded.
//
// `--product PATH`, as the first argument, names the module with the product, relative to the working folder. Without
// it the module beside the program is loaded.
#include "launcher/heldsignals.h"

#include <cstdio>
#include <cstring>
#include <dlfcn.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace currantlug::launcher {

namespace {

constexpr const char *DefaultProduct = "currantlug-node.so"; // Found by the search path of the program.
constexpr const char *ProductOption = "--product";
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
    const char *product = DefaultProduct;
    if (argc > 2 && std::strcmp(argv[1], ProductOption) == 0) {
        product = argv[2];
        argv[2] = argv[0];
        argc -= 2;
        argv += 2;
    }
    void *library = dlopen(product, RTLD_NOW | RTLD_LOCAL);
    void *entry = library == nullptr ? nullptr : dlsym(library, EntryPoint);
    if (entry == nullptr) {
        std::fprintf(stderr, "currantlug-node: %s\n", dlerror());
        return LoadFailed;
    }
    return reinterpret_cast<int (*)(int, char **)>(entry)(argc, argv);
}
