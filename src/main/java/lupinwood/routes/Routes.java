package lupinwood.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import lupinwood.admission.NanoDuration;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/**
 * The routes of a configuration. A request takes the one with the longest path that fits, a whole
 * path before the start of one, a told method before any.
 */
public final class Routes {
    /** Why a request is no request. */
    public enum Refusal {
        NO_ROUTE,
        OTHER_METHOD,
        NO_TENANT,
        NO_MARK,
        BAD_MARK,
        MARK_WHERE_NONE_BELONGS
    }

    /**
     * What a request is.
     *
     * @param refusal null for a request; all else is then said
     * @param mark null on request classes whose requests carry none
     * @param timeout the request class's timeout as configured at the start
     */
    public record Match(
            Refusal refusal,
            String className,
            String tenant,
            String mark,
            double memoryKb,
            NanoDuration timeout) {
        private static Match refused(Refusal why) {
            return new Match(why, null, null, null, 0, NanoDuration.ZERO);
        }
    }

    private record Route(
            String path,
            boolean start,
            String method,
            String className,
            boolean idempotent,
            String tenant,
            String tenantHeader,
            String markHeader,
            double memoryKb,
            NanoDuration timeout) {
        boolean fits(String requested) {
            return start ? requested.startsWith(path) : requested.equals(path);
        }
    }

    private static final Pattern MARK = Pattern.compile("[0-9a-fA-F]{1,64}");

    private final List<Route> routes = new ArrayList<>();

    /** Where the settings name no tenants no request need name one. */
    private final boolean noTenants;

    /** Those of a configuration that was checked. */
    public Routes(ParsedSettings parsedSettings) {
        noTenants = parsedSettings.tenants().isEmpty();
        for (String name : parsedSettings.items(Schema.ROUTE)) {
            String at = "route " + name + " ";
            String path = parsedSettings.value(at + "path");
            String className = parsedSettings.value(at + "track");
            boolean start = path.endsWith("*");
            String memory = parsedSettings.values().getOrDefault(at + "memory", "20000");
            routes.add(
                    new Route(
                            start ? path.substring(0, path.length() - 1) : path,
                            start,
                            parsedSettings.value(at + "method"),
                            className,
                            "receipted"
                                    .equals(parsedSettings.value("track " + className + " effect")),
                            parsedSettings.value(at + "customer"),
                            small(
                                    parsedSettings
                                            .values()
                                            .getOrDefault(at + "customer-header", "X-Customer")),
                            small(
                                    parsedSettings
                                            .values()
                                            .getOrDefault(at + "mark-header", "X-Mark")),
                            Double.parseDouble(memory) / 1000,
                            new NanoDuration(
                                    Long.parseLong(
                                            parsedSettings.value(
                                                    "track " + className + " abandon-time")))));
        }
        routes.sort(
                Comparator.<Route>comparingInt(route -> -route.path().length())
                        .thenComparing(Route::start)
                        .thenComparing(route -> route.method() == null));
    }

    private static String small(String header) {
        return header.toLowerCase(Locale.ROOT);
    }

    public Match match(RequestMatchInput input) {
        boolean pathFits = false;
        for (Route route : routes) {
            if (route.fits(input.path())) {
                if (route.method() == null || route.method().equals(input.method())) {
                    return request(route, input);
                }
                pathFits = true;
            }
        }
        return Match.refused(pathFits ? Refusal.OTHER_METHOD : Refusal.NO_ROUTE);
    }

    private Match request(Route route, RequestMatchInput input) {
        String tenant =
                route.tenant() != null ? route.tenant() : input.header(route.tenantHeader());
        String mark = input.header(route.markHeader());
        if (tenant == null || tenant.isEmpty()) {
            if (!noTenants) {
                return Match.refused(Refusal.NO_TENANT);
            }
            tenant = "";
        }
        if (route.idempotent() != (mark != null && !mark.isEmpty())) {
            return Match.refused(
                    route.idempotent() ? Refusal.NO_MARK : Refusal.MARK_WHERE_NONE_BELONGS);
        }
        if (route.idempotent() && !MARK.matcher(mark).matches()) {
            return Match.refused(Refusal.BAD_MARK);
        }
        return new Match(
                null,
                route.className(),
                tenant,
                route.idempotent() ? mark : null,
                route.memoryKb(),
                route.timeout());
    }
}
