package lupinwood.consensus;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/** The single thread on which a node's cluster membership runs, and its monotonic clock. */
public interface TaskLoop {
    void execute(Runnable task);

    void after(NanoDuration delay, Runnable task);

    MonotonicTime now();
}
