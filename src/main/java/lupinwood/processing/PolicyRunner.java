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
 * Creates the admission policy once the executor is connected, with the configured settings and the
 * executor's known capabilities, and lets it decide in rounds.
 *
 * <p>Owned by the event loop thread.
 */
final class PolicyRunner {
    private final RequestProcessor.PolicyFactory factory;
    private final long seed;
    private final EventLoopClock clock;
    private final BooleanSupplier canSkipCalls;

    /**
     * Events that the request processor itself produced, to be handled once the policy has decided.
     */
    private final Deque<Runnable> deferred = new ArrayDeque<>();

    private Map<String, String> settings;

    /** Null until the executor is connected. */
    private AdmissionPolicy policy;

    /** When the executor was started; null until it is connected. */
    private MonotonicTime executorStartedAt;

    /** Whether the executor was cold when the policy was created. */
    private boolean wasExecutorCold;

    /**
     * Creates a runner that has no policy yet.
     *
     * @param canSkipCalls tells whether the executor can let runs continue without a call
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

    /** The policy; null until it is started. */
    AdmissionPolicy policy() {
        return policy;
    }

    /** Creates the policy as of the time at which the executor was started. */
    void start(ServerActions actions, boolean cold, NanoDuration executorAge) {
        wasExecutorCold = cold;
        executorStartedAt = clock.now().minus(executorAge);
        policy =
                clock.callAt(
                        executorStartedAt,
                        () -> factory.make(actions, seed, settingsForPolicy(settings)));
    }

    /**
     * Whether the executor is connected, and either was warm when the policy was created or was
     * started at least this long ago.
     */
    boolean isWarm(NanoDuration warmAfter) {
        return executorStartedAt != null
                && (!wasExecutorCold
                        || clock.now().since(executorStartedAt).compareTo(warmAfter) >= 0);
    }

    /**
     * Applies settings that differ from the current ones only in entries that may change while the
     * policy runs.
     */
    void updateSettings(Map<String, String> changed) {
        if (isStarted()) {
            policy.updateSettings(settingsForPolicy(changed));
        }
        settings = changed;
    }

    /**
     * Passes the settings to the running policy again after the known capabilities of the executor
     * changed.
     */
    void refreshSettings() {
        policy.updateSettings(settingsForPolicy(settings));
    }

    /** Defers an event until the policy has decided. */
    void defer(Runnable event) {
        deferred.add(event);
    }

    /** Lets the policy decide, then handles the deferred events, and repeats until none is left. */
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

    /** Wakes the policy at a time that it asked for, with resource usage. */
    void wake(ResourceUsage usage) {
        policy.wake(usage);
    }

    /** Tells the policy, if started, that the node will stop after this duration. */
    void drain(NanoDuration timeUntilStop) {
        if (isStarted()) {
            policy.drain(timeUntilStop);
        }
    }

    private Map<String, String> settingsForPolicy(Map<String, String> configured) {
        Map<String, String> result = new HashMap<>(configured);
        result.put("domain.cold", Boolean.toString(wasExecutorCold));
        if (!canSkipCalls.getAsBoolean()) {
            result.remove("domain.class_skip_worth");
        }
        return result;
    }
}
