package lupinwood.admission;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Turns the platform's settings, a map of its own names to texts, into the terms of the decisions.
 * The only place of the package that knows these names. An absent entry has its default; a text
 * that should be a number and is none is refused with a {@link NumberFormatException}.
 *
 * <p>Stateless; any thread.
 */
public final class PolicySettingsMapper {
    private static final double UNBOUNDED_MEMORY_KB = 1e12;
    private static final double UNBOUNDED_QUOTA = 1e9;

    /** Under this a quota would make pauses between calls without end. */
    private static final double MIN_QUOTA = 1e-3;

    private static final double DEFAULT_OVERLOAD_MULTIPLE = 3;

    private PolicySettingsMapper() {}

    /** Reads the settings of a node that starts. */
    static PolicySettings read(Map<String, String> map) {
        SettingsMap settings = new SettingsMap(map);
        return read(
                settings,
                machine(settings),
                (int) Math.ceil(settings.number("services.count", 0)),
                (int) Math.ceil(settings.number("customers.count", 0)));
    }

    /** Reads changed settings of a node that runs, for the machine, classes and tenants it has. */
    static PolicySettings read(Map<String, String> map, PolicySettings before) {
        return read(
                new SettingsMap(map),
                before.machine(),
                before.classes().size(),
                before.tenantQuotasPerSecond().size());
    }

    private static MachineSettings machine(SettingsMap settings) {
        boolean shared = settings.is("domain.below", "one_for_all");
        return new MachineSettings(
                settings.duration("step_ns"),
                Math.max(1, settings.number("domain.cpus", 1)),
                settings.number("domain.memory_kb", UNBOUNDED_MEMORY_KB),
                settings.number("domain.entry_kb", 0),
                settings.is("domain.stop_mode", "discard")
                        || settings.is("domain.stop_mode", "freeze"),
                shared,
                shared
                        ? Math.max(MIN_QUOTA, settings.number("domain.calls_out", UNBOUNDED_QUOTA))
                        : UNBOUNDED_QUOTA);
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
                settings.number("rules.fall_multiple", DEFAULT_OVERLOAD_MULTIPLE),
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
     * One request class.
     *
     * @param index its place in the platform's list
     */
    public static RequestClass requestClass(SettingsMap settings, int index) {
        String prefix = "services." + index + ".";
        String skippedCallValue = settings.item("domain.class_skip_worth", index);
        NanoDuration timeout = settings.duration(prefix + "give_up_ns");
        // Whoever may retry a request gives it up by then, over all its attempts.
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

    /** What isn't told to be harmless is never run twice. */
    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case "pure" -> Idempotency.SAFE;
            case "token" -> Idempotency.IDEMPOTENT;
            default -> Idempotency.UNSAFE;
        };
    }

    private static LoadSignal loadSignal(String advert) {
        return switch (advert) {
            case "allowance" -> LoadSignal.ALLOWANCE;
            case "floor" -> LoadSignal.FLOOR;
            case "weight" -> LoadSignal.WEIGHT;
            default -> LoadSignal.NONE;
        };
    }
}
