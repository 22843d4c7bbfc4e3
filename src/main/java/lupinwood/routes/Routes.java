package lupinwood.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import lupinwood.node.Span;
import lupinwood.settings.Meaning;
import lupinwood.settings.Schema;

/**
 * The routes of a configuration. A request takes the one with the longest path that fits, a whole
 * path before the start of one, a told method before any.
 */
public final class Routes {
    /** Why a request is no ticket. */
    public enum Refusal {
        NO_ROUTE,
        OTHER_METHOD,
        NO_CUSTOMER,
        NO_MARK,
        BAD_MARK,
        MARK_WHERE_NONE_BELONGS
    }

    /**
     * What a request is.
     *
     * @param refusal null for a ticket; all else is then said
     * @param mark null on tracks whose tickets carry none
     * @param abandon the track's abandon time as configured at the start
     */
    public record Match(
            Refusal refusal,
            String track,
            String customer,
            String mark,
            double memoryKb,
            Span abandon) {
        private static Match refused(Refusal why) {
            return new Match(why, null, null, null, 0, Span.ZERO);
        }
    }

    private record Route(
            String path,
            boolean start,
            String method,
            String track,
            boolean receipted,
            String customer,
            String customerHeader,
            String markHeader,
            double memoryKb,
            Span abandon) {
        boolean fits(String asked) {
            return start ? asked.startsWith(path) : asked.equals(path);
        }
    }

    private static final Pattern MARK = Pattern.compile("[0-9a-fA-F]{1,64}");

    private final List<Route> routes = new ArrayList<>();

    /** Where the settings name no customers no request need name one. */
    private final boolean noCustomers;

    /** Those of a configuration that was checked. */
    public Routes(Meaning meaning) {
        noCustomers = meaning.customers().isEmpty();
        for (String name : meaning.items(Schema.ROUTE)) {
            String at = "route " + name + " ";
            String path = meaning.value(at + "path");
            String track = meaning.value(at + "track");
            boolean start = path.endsWith("*");
            String memory = meaning.values().getOrDefault(at + "memory", "20000");
            routes.add(
                    new Route(
                            start ? path.substring(0, path.length() - 1) : path,
                            start,
                            meaning.value(at + "method"),
                            track,
                            "receipted".equals(meaning.value("track " + track + " effect")),
                            meaning.value(at + "customer"),
                            small(
                                    meaning.values()
                                            .getOrDefault(at + "customer-header", "X-Customer")),
                            small(meaning.values().getOrDefault(at + "mark-header", "X-Mark")),
                            Double.parseDouble(memory) / 1000,
                            new Span(
                                    Long.parseLong(
                                            meaning.value("track " + track + " abandon-time")))));
        }
        routes.sort(
                Comparator.<Route>comparingInt(route -> -route.path().length())
                        .thenComparing(Route::start)
                        .thenComparing(route -> route.method() == null));
    }

    private static String small(String header) {
        return header.toLowerCase(Locale.ROOT);
    }

    public Match match(Asked asked) {
        boolean pathFits = false;
        for (Route route : routes) {
            if (route.fits(asked.path())) {
                if (route.method() == null || route.method().equals(asked.method())) {
                    return ticket(route, asked);
                }
                pathFits = true;
            }
        }
        return Match.refused(pathFits ? Refusal.OTHER_METHOD : Refusal.NO_ROUTE);
    }

    private Match ticket(Route route, Asked asked) {
        String customer =
                route.customer() != null ? route.customer() : asked.header(route.customerHeader());
        String mark = asked.header(route.markHeader());
        if (customer == null || customer.isEmpty()) {
            if (!noCustomers) {
                return Match.refused(Refusal.NO_CUSTOMER);
            }
            customer = "";
        }
        if (route.receipted() != (mark != null && !mark.isEmpty())) {
            return Match.refused(
                    route.receipted() ? Refusal.NO_MARK : Refusal.MARK_WHERE_NONE_BELONGS);
        }
        if (route.receipted() && !MARK.matcher(mark).matches()) {
            return Match.refused(Refusal.BAD_MARK);
        }
        return new Match(
                null,
                route.track(),
                customer,
                route.receipted() ? mark : null,
                route.memoryKb(),
                route.abandon());
    }
}
