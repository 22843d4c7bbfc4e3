package lupinwood.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinwood.admission.AdmissionPolicy;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RequestId;
import lupinwood.admission.RequestListener;
import lupinwood.admission.ServerActions;

/**
 * One life of one instance: its node, the handles still in use, and the machine as that node sees
 * it.
 */
final class SimulatedNode implements ServerActions {
    private static final int CODE_SKIP = 80;
    private static final int CODE_TIMER = 81;
    private static final int CODE_REUSE = 82;
    private static final int CODE_FAIL = 83;
    private static final int CODE_STOP = 84;
    private static final int CODE_TRIM = 85;
    private static final int CODE_RUN = 86;
    private static final int CODE_CALL = 87;
    private static final int CODE_REJECT = 88;
    private static final int CODE_LOG = 89;
    private static final int CODE_REPORT_CAPACITY = 90;
    private static final int CODE_FORGET = 92;
    private static final int CODE_REMEMBER = 93;
    private static final int CODE_HEALTH = 94;

    final int number;
    final Map<Long, RequestListener> handles = new HashMap<>();

    /** The names of the resource usage, in the order in which they come. */
    final List<String> resourceUsage;

    AdmissionPolicy node;
    MonotonicTime now;
    private final BatchReply reply;

    SimulatedNode(int number, MonotonicTime now, BatchReply reply, List<String> resourceUsage) {
        this.number = number;
        this.resourceUsage = resourceUsage;
        this.now = now;
        this.reply = reply;
    }

    @Override
    public MonotonicTime now() {
        return now;
    }

    @Override
    public void run(RequestId requestId) {
        about(CODE_RUN, requestId);
    }

    @Override
    public void stop(RequestId requestId) {
        about(CODE_STOP, requestId);
    }

    @Override
    public void reject(RequestId requestId, boolean doNotRetryElsewhere, NanoDuration retryAfter) {
        reply.record(CODE_REJECT, number, 13)
                .putInt((int) requestId.number())
                .put((byte) (doNotRetryElsewhere ? 1 : 0))
                .putLong(retryAfter.nanos());
    }

    @Override
    public void fail(RequestId requestId) {
        about(CODE_FAIL, requestId);
    }

    @Override
    public void call(RequestId requestId, NanoDuration cap) {
        timed(CODE_CALL, requestId, cap);
    }

    @Override
    public void skipCall(RequestId requestId) {
        about(CODE_SKIP, requestId);
    }

    @Override
    public void answerFromOriginal(RequestId requestId) {
        about(CODE_REUSE, requestId);
    }

    @Override
    public void remember(RequestId requestId, NanoDuration duration) {
        timed(CODE_REMEMBER, requestId, duration);
    }

    @Override
    public void forget(RequestId requestId) {
        about(CODE_FORGET, requestId);
    }

    @Override
    public void reportHealth(boolean good, boolean fromStore) {
        reply.record(CODE_HEALTH, number, 2)
                .put((byte) (good ? 1 : 0))
                .put((byte) (fromStore ? 1 : 0));
    }

    @Override
    public void reportAvailableCapacity(double value) {
        reply.record(CODE_REPORT_CAPACITY, number, 4).putFloat((float) value);
    }

    @Override
    public void closeIdleConnections(NanoDuration idle) {
        reply.record(CODE_TRIM, number, 8).putLong(idle.nanos());
    }

    @Override
    public void wakeAt(MonotonicTime time) {
        reply.record(CODE_TIMER, number, 12).putLong(time.nanos()).putInt(0);
    }

    @Override
    public void release(RequestId requestId) {
        handles.remove(requestId.number());
    }

    @Override
    public void log(String line) {
        reply.record(CODE_LOG, number, line);
    }

    private void about(int code, RequestId requestId) {
        reply.record(code, number, 4).putInt((int) requestId.number());
    }

    private void timed(int code, RequestId requestId, NanoDuration duration) {
        reply.record(code, number, 12).putInt((int) requestId.number()).putLong(duration.nanos());
    }
}
