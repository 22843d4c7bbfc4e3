package lupinwood.consensus;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.DisruptionLimits;
import lupinwood.cluster.LeaseTiming;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.Site;
import lupinwood.failover.Location;
import lupinwood.rollout.CanaryLimits;
import lupinwood.settings.ParsedSettings;
import lupinwood.settings.Schema;

/**
 * The settings of the cluster and of this node's membership in it.
 *
 * @param voters the address of each voter, in the order of the file
 * @param listenAddress the address on which a voter accepts connections; null unless the node is a
 *     voter
 * @param directory where a voter stores the state that must survive a restart; null unless the node
 *     is a voter
 * @param reportAddress the address to which the status reporter sends the cluster status; null for
 *     none
 * @param requestClassesByServer the request classes that each downstream server runs, by the
 *     server's name
 * @param maxCordons how many servers may be cordoned at once
 * @param locations the servers that the capacity plan covers
 */
public record ClusterSettings(
        NodeName name,
        Site site,
        Map<NodeName, InetSocketAddress> voters,
        InetSocketAddress listenAddress,
        Path directory,
        InetSocketAddress reportAddress,
        LeaseTiming timing,
        DisruptionLimits disruptionLimits,
        CanaryLimits canaryLimits,
        Map<String, Set<String>> requestClassesByServer,
        int maxCordons,
        List<Location> locations) {
    private static final BigDecimal DEFAULT_LEASE_NANOS = new BigDecimal(3_000_000_000L);
    private static final BigDecimal DEFAULT_WATCH_NANOS = new BigDecimal(60_000_000_000L);
    private static final BigDecimal DEFAULT_MAX_WATCH_NANOS = new BigDecimal(900_000_000_000L);
    private static final BigDecimal DEFAULT_HARM_RATIO = new BigDecimal("0.03");
    private static final BigDecimal DEFAULT_DRIFT_RATIO = new BigDecimal("0.01");

    /** The settings of the file; null if it names no voters. */
    public static ClusterSettings of(ParsedSettings parsedSettings) {
        List<String> voterNames = parsedSettings.items(Schema.VOTER);
        if (voterNames.isEmpty()) {
            return null;
        }
        Map<NodeName, InetSocketAddress> voters = new LinkedHashMap<>();
        voterNames.forEach(
                name ->
                        voters.put(
                                new NodeName(name),
                                address(parsedSettings.value("voter " + name + " address"))));
        String name =
                parsedSettings
                        .values()
                        .getOrDefault("name", ""); // an operator's own file has no name
        boolean isVoter = voterNames.contains(name);
        String listen = parsedSettings.value("fleet listen");
        NanoDuration lease =
                new NanoDuration(
                        parsedSettings.number("fleet lease", DEFAULT_LEASE_NANOS).longValue());
        LeaseTiming timing =
                LeaseTiming.of(
                        lease,
                        parsedSettings.number("fleet drift", DEFAULT_DRIFT_RATIO).doubleValue());
        return new ClusterSettings(
                new NodeName(name),
                new Site(
                        parsedSettings.values().getOrDefault("fleet region", "region"),
                        parsedSettings.values().getOrDefault("fleet zone", "zone")),
                voters,
                !isVoter ? null : listen != null ? address(listen) : voters.get(new NodeName(name)),
                isVoter ? Path.of(parsedSettings.values().getOrDefault("fleet folder", "")) : null,
                parsedSettings.value("fleet report") == null
                        ? null
                        : address(parsedSettings.value("fleet report")),
                timing,
                disruptionLimits(parsedSettings, new ArrayList<>(voters.keySet())),
                canaryLimits(parsedSettings, lease),
                requestClassesByServer(parsedSettings),
                parsedSettings.number("out below-most", BigDecimal.ONE).intValue(),
                locations(parsedSettings));
    }

    private static Map<String, Set<String>> requestClassesByServer(ParsedSettings parsedSettings) {
        Map<String, Set<String>> requestClassesByServer = new LinkedHashMap<>();
        for (String name : parsedSettings.items(Schema.SERVER)) {
            requestClassesByServer.put(
                    name,
                    Set.of(
                            parsedSettings
                                    .values()
                                    .getOrDefault("server " + name + " tracks", "")
                                    .split(",")));
        }
        return requestClassesByServer;
    }

    /** The servers whose capacity the file gives; only those are part of the capacity plan. */
    public static List<Location> locations(ParsedSettings parsedSettings) {
        List<Location> locations = new ArrayList<>();
        for (String name : parsedSettings.items(Schema.SERVER)) {
            String prefix = "server " + name + " ";
            if (parsedSettings.value(prefix + "bears") != null) {
                int capacity = parsedSettings.number(prefix + "bears", null).intValue();
                locations.add(
                        new Location(
                                name,
                                new Site(
                                        parsedSettings
                                                .values()
                                                .getOrDefault(prefix + "region", "region"),
                                        parsedSettings
                                                .values()
                                                .getOrDefault(prefix + "zone", "zone")),
                                capacity,
                                parsedSettings.number(prefix + "near", BigDecimal.ONE).intValue(),
                                parsedSettings.number(prefix + "far", BigDecimal.ZERO).intValue(),
                                Boolean.parseBoolean(
                                        parsedSettings
                                                .values()
                                                .getOrDefault(
                                                        prefix + "stays-in-region", "false"))));
            }
        }
        return locations;
    }

    /**
     * Why the server must not be cordoned in addition to the cordoned ones: it isn't in this node's
     * settings, or by these settings it is the last server that isn't cordoned for one of its
     * request classes. Empty if it may be cordoned.
     */
    String reasonAgainstCordon(String server, Set<String> cordoned) {
        if (!requestClassesByServer.containsKey(server)) {
            return "the settings of the leader " + name + " have no server " + server;
        }
        for (String requestClass : requestClassesByServer.get(server)) {
            boolean isServedElsewhere =
                    requestClassesByServer.entrySet().stream()
                            .anyMatch(
                                    entry ->
                                            !entry.getKey().equals(server)
                                                    && !cordoned.contains(entry.getKey())
                                                    && entry.getValue().contains(requestClass));
            if (!isServedElsewhere) {
                return "no other server would run requests of class " + requestClass;
            }
        }
        return "";
    }

    private static CanaryLimits canaryLimits(ParsedSettings parsedSettings, NanoDuration lease) {
        return CanaryLimits.of(
                new NanoDuration(
                        parsedSettings.number("release watch", DEFAULT_WATCH_NANOS).longValue()),
                new NanoDuration(
                        parsedSettings
                                .number("release watch-most", DEFAULT_MAX_WATCH_NANOS)
                                .longValue()),
                parsedSettings.number("release harm", DEFAULT_HARM_RATIO).doubleValue(),
                lease);
    }

    private static DisruptionLimits disruptionLimits(
            ParsedSettings parsedSettings, List<NodeName> voters) {
        DisruptionLimits defaults = DisruptionLimits.DEFAULT;
        return new DisruptionLimits(
                parsedSettings.number("out most", BigDecimal.valueOf(defaults.most())).intValue(),
                parsedSettings
                        .number("out share", BigDecimal.valueOf(defaults.share()))
                        .doubleValue(),
                parsedSettings
                        .number("out zone-most", BigDecimal.valueOf(defaults.zoneMost()))
                        .intValue(),
                parsedSettings
                        .number("out zone-share", BigDecimal.valueOf(defaults.zoneShare()))
                        .doubleValue(),
                parsedSettings
                        .number("out least-in", BigDecimal.valueOf(defaults.leastIn()))
                        .intValue(),
                voters);
    }

    public boolean isVoter() {
        return listenAddress != null;
    }

    List<NodeName> voterNames() {
        return new ArrayList<>(voters.keySet());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
