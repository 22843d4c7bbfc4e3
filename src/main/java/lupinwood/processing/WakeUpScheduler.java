package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;

/**
 * Wakes the admission policy at the times that it asked for. Each wake-up carries resource usage
 * that was read recently or is queried first, if the executor replies in time.
 *
 * <p>Owned by the event loop thread.
 */
final class WakeUpScheduler {
    /** How long a wake-up waits for resource usage before it goes ahead without. */
    private static final NanoDuration RESOURCE_USAGE_TIMEOUT = NanoDuration.ofSeconds(0.02);

    /**
     * Resource usage up to this age is used without a new query, because each query costs two
     * messages and two rounds of decisions.
     */
    private static final NanoDuration MAX_USAGE_AGE = NanoDuration.ofSeconds(0.02);

    private final List<String> resourceUsageNames;
    private final TimerService timers;
    private final Executor executor;
    private final TagSequence tags;
    private final Supplier<MonotonicTime> clock;
    private final Consumer<ResourceUsage> wake;

    /** The tag of the resource usage query that a wake-up waits for; 0 if none. */
    private long requestedTag;

    private boolean draining;
    private TimerService.Timer nextWakeUp;
    private TimerService.Timer usageTimeout;
    private ResourceUsage resourceUsage = ResourceUsage.UNKNOWN;
    private MonotonicTime readAt = new MonotonicTime(0);

    WakeUpScheduler(
            List<String> resourceUsageNames,
            TimerService timers,
            Executor executor,
            TagSequence tags,
            Supplier<MonotonicTime> clock,
            Consumer<ResourceUsage> wake) {
        this.resourceUsageNames = resourceUsageNames;
        this.timers = timers;
        this.executor = executor;
        this.tags = tags;
        this.clock = clock;
        this.wake = wake;
    }

    /** Schedules the only wake-up; a later call replaces the earlier one. */
    void schedule(MonotonicTime time) {
        timers.cancel(nextWakeUp);
        nextWakeUp = timers.schedule(time, this::onDue);
    }

    /**
     * From now on wake-ups don't wait for resource usage, which is queried alongside. Guards the
     * last responses of a draining node: events on timers of their own that are due after them,
     * such as asking upstreams to send no more, must not overtake them when the process stalls.
     */
    void startDraining() {
        draining = true;
    }

    private void onDue() {
        // If the settings name no resource usage values there is nothing to wait for, and what is
        // due must not wait.
        if (draining && !resourceUsageNames.isEmpty()) {
            executor.askResourceUsage(tags.next());
        }
        if (resourceUsageNames.isEmpty()
                || draining
                || clock.get().since(readAt).compareTo(MAX_USAGE_AGE) < 0) {
            wake.accept(resourceUsage);
        } else if (requestedTag == 0) {
            requestedTag = tags.next();
            // Guards against a lost or slow executor connection: the policy's wake-ups must not
            // wait for it.
            usageTimeout =
                    timers.schedule(
                            clock.get().plus(RESOURCE_USAGE_TIMEOUT),
                            () ->
                                    wakeNow(
                                            new ResourceUsage(
                                                    Double.NaN,
                                                    Double.NaN,
                                                    resourceUsage.memoryShare(),
                                                    resourceUsage.connections())));
            executor.askResourceUsage(requestedTag);
        }
    }

    /** Handles the reply to the resource usage query with this tag. */
    void onResourceUsage(long tag, ResourceUsage usage) {
        resourceUsage = usage;
        readAt = clock.get();
        if (tag == requestedTag) {
            wakeNow(resourceUsage);
        }
    }

    private void wakeNow(ResourceUsage usage) {
        requestedTag = 0;
        timers.cancel(usageTimeout);
        wake.accept(usage);
    }
}
