package lupinwood.net;

import lupinwood.log.Log;
import lupinwood.processing.TimerService;

/** What every link of one node works with. */
record LinkContext(Sockets sockets, EventLoop eventLoop, TimerService deadlines, Log log) {}
