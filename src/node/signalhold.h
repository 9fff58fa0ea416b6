// Signals that the launcher holds back until the program can handle them, and that are held again once it no longer
// can.
#ifndef CURRANTLUG_NODE_SIGNALHOLD_H
#define CURRANTLUG_NODE_SIGNALHOLD_H

namespace currantlug::node {

/// Ignores the signals that the program has no use for and lets the others through. Call once their handlers are
/// installed.
void releaseSignals();

/// True if a held signal asks the process to stop.
bool isStopPending();

/// Keeps signals from ending the process. Call before their handlers are removed.
void holdSignals();

} // namespace currantlug::node

#endif
