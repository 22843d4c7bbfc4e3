package lupinwood.consensus;

import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;

/** The one thread on which a node's part in the fleet happens, and its monotonic clock. */
public interface TaskLoop {
    void execute(Runnable job);

    void after(NanoDuration duration, Runnable job);

    MonotonicTime now();
}
