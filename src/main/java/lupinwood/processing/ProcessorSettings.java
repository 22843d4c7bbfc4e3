package lupinwood.processing;

import java.util.List;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;

/** Reads the settings that the request processor needs only at its construction. */
final class ProcessorSettings {
    /** The idle timeout of connections if the settings have none. */
    private static final NanoDuration DEFAULT_IDLE_TIMEOUT = NanoDuration.ofSeconds(3600);

    private ProcessorSettings() {}

    /**
     * How long a connection may be idle. Upstream load balancers close idle connections by then;
     * one that is still open was forgotten by its upstream.
     */
    static NanoDuration idleTimeout(SettingsMap settings) {
        NanoDuration idleTimeout = settings.duration("domain.keepalive_max_ns");
        return idleTimeout.isPositive() ? idleTimeout : DEFAULT_IDLE_TIMEOUT;
    }

    /** The names of the resource usage values, in the order in which the executor sends them. */
    static List<String> resourceUsageNames(SettingsMap settings) {
        String names = settings.text("domain.gauges");
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }
}
