package lupinwood.processing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import lupinwood.admission.AdmissionPolicy;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;
import lupinwood.admission.ServerActions;

/**
 * The admission policy: made once the executor is up, with the settings of the configuration and
 * what was learned of the executor, and asked to decide in rounds.
 *
 * <p>Owned by the event loop thread.
 */
final class PolicyRunner {
    private final RequestProcessor.PolicyFactory factory;
    private final long seed;
    private final EventLoopClock clock;
    private final BooleanSupplier canSkipCalls;

    /** Events of the processor's own making, which follow once the policy has decided. */
    private final Deque<Runnable> deferred = new ArrayDeque<>();

    private Map<String, String> settings;

    /** Null before the executor is up. */
    private AdmissionPolicy policy;

    /** When the executor was started; null before its first word. */
    private MonotonicTime executorStartedAt;

    /** Whether the executor was cold when the policy was made. */
    private boolean executorCold;

    /**
     * A runner without a policy.
     *
     * @param canSkipCalls whether the executor may let runs go on without a call
     */
    PolicyRunner(
            RequestProcessor.PolicyFactory factory,
            long seed,
            Map<String, String> settings,
            EventLoopClock clock,
            BooleanSupplier canSkipCalls) {
        this.factory = factory;
        this.seed = seed;
        this.settings = settings;
        this.clock = clock;
        this.canSkipCalls = canSkipCalls;
    }

    boolean isStarted() {
        return policy != null;
    }

    /** The policy; null before it is started. */
    AdmissionPolicy policy() {
        return policy;
    }

    /** Makes the policy, whose life began when the executor's did. */
    void start(ServerActions server, boolean cold, NanoDuration executorAge) {
        executorCold = cold;
        executorStartedAt = clock.now().minus(executorAge);
        policy =
                clock.callAt(
                        executorStartedAt,
                        () -> factory.make(server, seed, settingsForPolicy(settings)));
    }

    /** Whether the executor is there, and warm, or started so long ago that it is. */
    boolean isWarm(NanoDuration warmAfter) {
        return executorStartedAt != null
                && (!executorCold
                        || clock.now().since(executorStartedAt).compareTo(warmAfter) >= 0);
    }

    /** Takes over settings that differ only in what may change while the policy runs. */
    void updateSettings(Map<String, String> changed) {
        if (isStarted()) {
            policy.updateSettings(settingsForPolicy(changed));
        }
        settings = changed;
    }

    /** What is known of the executor changed: the running policy gets its settings anew. */
    void refreshSettings() {
        policy.updateSettings(settingsForPolicy(settings));
    }

    /** Puts an event off until the policy has decided. */
    void defer(Runnable event) {
        deferred.add(event);
    }

    /** Lets the policy decide, and again after the events that were put off, until none is. */
    void settle() {
        if (isStarted()) {
            policy.decide();
            while (!deferred.isEmpty()) {
                deferred.poll().run();
                if (deferred.isEmpty()) {
                    policy.decide();
                }
            }
        }
    }

    /** A wake-up that the policy asked for is due, or resource usage was read anew. */
    void wake(ResourceUsage usage) {
        policy.wake(usage);
    }

    /** Notice of a stop after this long, for a policy that runs. */
    void drain(NanoDuration until) {
        if (isStarted()) {
            policy.drain(until);
        }
    }

    private Map<String, String> settingsForPolicy(Map<String, String> from) {
        Map<String, String> result = new HashMap<>(from);
        result.put("domain.cold", Boolean.toString(executorCold));
        if (!canSkipCalls.getAsBoolean()) {
            result.remove("domain.class_skip_worth");
        }
        return result;
    }
}
