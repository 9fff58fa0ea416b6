// Holds back signals that arrive before the program can handle them.
//
// SIGHUP ends a process by default, and the platform may send it to a process that has only just been executed. A
// program that links this file starts with SIGHUP, SIGTERM and SIGINT blocked; they stay pending until
// releaseSignals().
#ifndef CURRANTLUG_NODE_SIGNALHOLD_H
#define CURRANTLUG_NODE_SIGNALHOLD_H

namespace currantlug::node {

/// Lets the signals through. Call once their handlers are installed.
void releaseSignals();

} // namespace currantlug::node

#endif
