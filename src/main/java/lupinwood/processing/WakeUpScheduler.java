package lupinwood.processing;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.ResourceUsage;

/**
 * The node's wake-ups, each with resource usage just read, or read anew where the executor gives it
 * in time.
 *
 * <p>Owned by the event loop thread.
 */
final class WakeUpScheduler {
    /** A wake-up waits so long for resource usage before it does without. */
    private static final NanoDuration RESOURCE_USAGE_TIMEOUT = NanoDuration.ofSeconds(0.02);

    /**
     * Resource usage count as just read for as long: each reading costs two messages and two rounds
     * of deciding.
     */
    private static final NanoDuration MAX_USAGE_AGE = NanoDuration.ofSeconds(0.02);

    private final List<String> names;
    private final TimerService timers;
    private final Executor executor;
    private final TagSequence tags;
    private final Supplier<MonotonicTime> clock;
    private final Consumer<ResourceUsage> wake;

    /** The tag under which resource usage were asked for a wake-up, or 0. */
    private long requestedTag;

    private boolean draining;
    private TimerService.Timer nextWakeUp;
    private TimerService.Timer usageTimeout;
    private ResourceUsage resourceUsage = ResourceUsage.UNKNOWN;
    private MonotonicTime readAt = new MonotonicTime(0);

    WakeUpScheduler(
            List<String> names,
            TimerService timers,
            Executor executor,
            TagSequence tags,
            Supplier<MonotonicTime> clock,
            Consumer<ResourceUsage> wake) {
        this.names = names;
        this.timers = timers;
        this.executor = executor;
        this.tags = tags;
        this.clock = clock;
        this.wake = wake;
    }

    /** The node asks for one wake-up at a time; a later word replaces the one before. */
    void at(MonotonicTime time) {
        timers.cancel(nextWakeUp);
        nextWakeUp = timers.schedule(time, this::due);
    }

    /**
     * From now on wake-ups wait for no resource usage, which are read beside them. Guards against
     * the last answers of a node that leaves: what comes after them by its own deadline, as the
     * wish to send no more, must not overtake them in a stall.
     */
    void startDraining() {
        draining = true;
    }

    private void due() {
        // Where the settings name no resource usage there is none to wait for, and what is due must
        // not wait.
        if (draining && !names.isEmpty()) {
            executor.askResourceUsage(tags.next());
        }
        if (names.isEmpty() || draining || clock.get().since(readAt).compareTo(MAX_USAGE_AGE) < 0) {
            wake.accept(resourceUsage);
        } else if (requestedTag == 0) {
            requestedTag = tags.next();
            // Guards against a link that is lost or slow: the node's alarms must not wait for it.
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

    /** Resource usage was read, asked for by this tag. */
    void read(long tag, ResourceUsage usage) {
        resourceUsage = usage;
        readAt = clock.get();
        if (tag == requestedTag) {
            wakeNow(resourceUsage);
        }
    }

    private void wakeNow(ResourceUsage known) {
        requestedTag = 0;
        timers.cancel(usageTimeout);
        wake.accept(known);
    }
}
