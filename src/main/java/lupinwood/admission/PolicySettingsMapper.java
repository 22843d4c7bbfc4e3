package lupinwood.admission;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Converts the settings, a map from the names that the entries have in the configuration to texts,
 * to the types that the decisions use. The only class of the package that contains these names. An
 * absent entry gets its default; a text that should be a number but is not causes a {@link
 * NumberFormatException}.
 *
 * <p>Stateless; may be used from any thread.
 */
public final class PolicySettingsMapper {
    private static final double UNBOUNDED_MEMORY_KB = 1e12;
    private static final double UNBOUNDED_QUOTA_CALLS_IN_FLIGHT = 1e9;

    /**
     * The least quota, in calls in flight; a smaller one would make endless pauses between calls.
     */
    private static final double MIN_QUOTA_CALLS_IN_FLIGHT = 1e-3;

    private static final double DEFAULT_OVERLOAD_RUNS_PER_CORE = 3;

    private PolicySettingsMapper() {}

    /** Reads the settings at the start of a node. */
    static PolicySettings read(Map<String, String> values) {
        SettingsMap settings = new SettingsMap(values);
        return read(
                settings,
                machine(settings),
                (int) Math.ceil(settings.number("services.count", 0)),
                (int) Math.ceil(settings.number("customers.count", 0)));
    }

    /**
     * Reads changed settings of a running node, which keeps its machine settings and its numbers of
     * classes and tenants.
     */
    static PolicySettings read(Map<String, String> values, PolicySettings previous) {
        return read(
                new SettingsMap(values),
                previous.machine(),
                previous.classes().size(),
                previous.tenantQuotasPerSecond().size());
    }

    private static MachineSettings machine(SettingsMap settings) {
        boolean hasSharedDependency = settings.is("domain.below", "one_for_all");
        return new MachineSettings(
                settings.duration("step_ns"),
                Math.max(1, settings.number("domain.cpus", 1)),
                settings.number("domain.memory_kb", UNBOUNDED_MEMORY_KB),
                settings.number("domain.entry_kb", 0),
                settings.is("domain.stop_mode", "discard")
                        || settings.is("domain.stop_mode", "freeze"),
                hasSharedDependency,
                hasSharedDependency
                        ? Math.max(
                                MIN_QUOTA_CALLS_IN_FLIGHT,
                                settings.number(
                                        "domain.calls_out", UNBOUNDED_QUOTA_CALLS_IN_FLIGHT))
                        : UNBOUNDED_QUOTA_CALLS_IN_FLIGHT);
    }

    private static PolicySettings read(
            SettingsMap settings, MachineSettings machine, int classCount, int tenantCount) {
        List<RequestClass> classes =
                IntStream.range(0, classCount).mapToObj(i -> requestClass(settings, i)).toList();
        return new PolicySettings(
                machine,
                settings.number("domain.run_mem_factor", 1),
                settings.is("domain.cold", "true"),
                settings.number("rules.cold_share", 1),
                settings.number("rules.ramp_time_ns", 0),
                settings.number("rules.fall_multiple", DEFAULT_OVERLOAD_RUNS_PER_CORE),
                settings.duration("rules.fall_ns"),
                settings.duration("rules.drain_grace_ns"),
                settings.duration("domain.calls_over_ns"),
                settings.duration("domain.linger_ns"),
                settings.number("goal.worst_class", 0),
                settings.number("over_share_worth", 1),
                classes,
                meanObjectiveSeconds(classes),
                IntStream.range(0, tenantCount)
                        .mapToObj(i -> settings.number("customers." + i + ".quota_rps", 0))
                        .toList(),
                settings.number("group_size", 1),
                settings.duration("domain.keepalive_max_ns"),
                settings.duration("bounds.max_retry_after_ns"),
                loadSignal(settings.text("domain.advert")),
                settings.number("domain.upstreams", 1));
    }

    private static double meanObjectiveSeconds(List<RequestClass> classes) {
        return classes.stream()
                .mapToDouble(each -> each.latencyObjective().seconds())
                .average()
                .orElse(1);
    }

    /**
     * Reads the settings of one request class.
     *
     * @param index its position in the list of classes
     */
    public static RequestClass requestClass(SettingsMap settings, int index) {
        String prefix = "services." + index + ".";
        String skippedCallValue = settings.item("domain.class_skip_worth", index);
        NanoDuration timeout = settings.duration(prefix + "give_up_ns");
        // Without a window, an idempotent request may be retried until its timeout, which covers
        // all its attempts.
        NanoDuration window =
                settings.text(prefix + "window_ns").isEmpty()
                        ? timeout
                        : settings.duration(prefix + "window_ns");
        boolean hasDownstream =
                !settings.is("domain.below", "off") && !settings.is("domain.below", "");
        return new RequestClass(
                hasDownstream && settings.item("domain.class_calls", index).equals("true"),
                idempotency(settings.text(prefix + "effect")),
                settings.duration(prefix + "aim_ns"),
                settings.number(prefix + "aim_stretch", 0),
                timeout,
                window,
                settings.number(prefix + "worth", 1),
                settings.number(prefix + "late_value", 0),
                skippedCallValue.isEmpty() ? 0 : Double.parseDouble(skippedCallValue));
    }

    /**
     * A request class that the settings declare neither safe nor idempotent is unsafe: its requests
     * are never run twice.
     */
    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case "pure" -> Idempotency.SAFE;
            case "token" -> Idempotency.IDEMPOTENT;
            default -> Idempotency.UNSAFE;
        };
    }

    private static LoadSignal loadSignal(String signal) {
        return switch (signal) {
            case "allowance" -> LoadSignal.ALLOWANCE;
            case "floor" -> LoadSignal.FLOOR;
            case "weight" -> LoadSignal.WEIGHT;
            default -> LoadSignal.NONE;
        };
    }
}
