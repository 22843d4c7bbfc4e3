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
 * What the operator's file says of the fleet.
 *
 * @param voters where each voter is reached, in the file's order
 * @param listen where this node listens for others; null unless it is a voter
 * @param directory where a voter keeps what it must not forget; null unless it is one
 * @param servers what servers below carry out, by their names
 * @param locations servers that are planned in common
 * @param mostResting so many of them may rest at once
 * @param report where the status reporter tells the fleet's picture; null for nowhere
 */
public record ClusterSettings(
        NodeName name,
        Site site,
        Map<NodeName, InetSocketAddress> voters,
        InetSocketAddress listen,
        Path directory,
        InetSocketAddress report,
        LeaseTiming timing,
        DisruptionLimits disruptionLimits,
        CanaryLimits limits,
        Map<String, Set<String>> servers,
        int mostResting,
        List<Location> locations) {
    private static final BigDecimal LEASE = new BigDecimal(3_000_000_000L);
    private static final BigDecimal WATCH = new BigDecimal(60_000_000_000L);
    private static final BigDecimal WATCH_MOST = new BigDecimal(900_000_000_000L);
    private static final BigDecimal HARM = new BigDecimal("0.03");
    private static final BigDecimal DRIFT = new BigDecimal("0.01");

    /** Null where the file says nothing of a fleet. */
    public static ClusterSettings of(ParsedSettings parsedSettings) {
        List<String> names = parsedSettings.items(Schema.VOTER);
        if (names.isEmpty()) {
            return null;
        }
        Map<NodeName, InetSocketAddress> voters = new LinkedHashMap<>();
        names.forEach(
                name ->
                        voters.put(
                                new NodeName(name),
                                address(parsedSettings.value("voter " + name + " address"))));
        String name =
                parsedSettings
                        .values()
                        .getOrDefault("name", ""); // an operator's file by itself has none
        boolean votes = names.contains(name);
        String listen = parsedSettings.value("fleet listen");
        NanoDuration lease =
                new NanoDuration(parsedSettings.number("fleet lease", LEASE).longValue());
        LeaseTiming timing =
                LeaseTiming.of(lease, parsedSettings.number("fleet drift", DRIFT).doubleValue());
        return new ClusterSettings(
                new NodeName(name),
                new Site(
                        parsedSettings.values().getOrDefault("fleet region", "region"),
                        parsedSettings.values().getOrDefault("fleet zone", "zone")),
                voters,
                !votes ? null : listen != null ? address(listen) : voters.get(new NodeName(name)),
                votes ? Path.of(parsedSettings.values().getOrDefault("fleet folder", "")) : null,
                parsedSettings.value("fleet report") == null
                        ? null
                        : address(parsedSettings.value("fleet report")),
                timing,
                disruptionLimits(parsedSettings, new ArrayList<>(voters.keySet())),
                limits(parsedSettings, lease),
                servers(parsedSettings),
                parsedSettings.number("out below-most", BigDecimal.ONE).intValue(),
                places(parsedSettings));
    }

    private static Map<String, Set<String>> servers(ParsedSettings parsedSettings) {
        Map<String, Set<String>> servers = new LinkedHashMap<>();
        for (String name : parsedSettings.items(Schema.SERVER)) {
            servers.put(
                    name,
                    Set.of(
                            parsedSettings
                                    .values()
                                    .getOrDefault("server " + name + " tracks", "")
                                    .split(",")));
        }
        return servers;
    }

    /** Servers of which the file says what they bear; only those are planned. */
    public static List<Location> places(ParsedSettings parsedSettings) {
        List<Location> locations = new ArrayList<>();
        for (String name : parsedSettings.items(Schema.SERVER)) {
            String at = "server " + name + " ";
            if (parsedSettings.value(at + "bears") != null) {
                int bears = parsedSettings.number(at + "bears", null).intValue();
                locations.add(
                        new Location(
                                name,
                                new Site(
                                        parsedSettings
                                                .values()
                                                .getOrDefault(at + "region", "region"),
                                        parsedSettings.values().getOrDefault(at + "zone", "zone")),
                                bears,
                                parsedSettings.number(at + "near", BigDecimal.ONE).intValue(),
                                parsedSettings.number(at + "far", BigDecimal.ZERO).intValue(),
                                Boolean.parseBoolean(
                                        parsedSettings
                                                .values()
                                                .getOrDefault(at + "stays-in-region", "false"))));
            }
        }
        return locations;
    }

    /**
     * Why a server may not rest beside those that do: by this node's file, nobody would carry out
     * some request class.
     */
    String against(String server, Set<String> resting) {
        if (!servers.containsKey(server)) {
            return "the file of " + name + ", which leads, names no server " + server;
        }
        for (String className : servers.get(server)) {
            boolean other =
                    servers.entrySet().stream()
                            .anyMatch(
                                    one ->
                                            !one.getKey().equals(server)
                                                    && !resting.contains(one.getKey())
                                                    && one.getValue().contains(className));
            if (!other) {
                return "nobody else would carry out tickets of " + className;
            }
        }
        return "";
    }

    private static CanaryLimits limits(ParsedSettings parsedSettings, NanoDuration lease) {
        return CanaryLimits.of(
                new NanoDuration(parsedSettings.number("release watch", WATCH).longValue()),
                new NanoDuration(
                        parsedSettings.number("release watch-most", WATCH_MOST).longValue()),
                parsedSettings.number("release harm", HARM).doubleValue(),
                lease);
    }

    private static DisruptionLimits disruptionLimits(
            ParsedSettings parsedSettings, List<NodeName> voters) {
        DisruptionLimits usual = DisruptionLimits.USUAL;
        return new DisruptionLimits(
                parsedSettings.number("out most", BigDecimal.valueOf(usual.most())).intValue(),
                parsedSettings.number("out share", BigDecimal.valueOf(usual.share())).doubleValue(),
                parsedSettings
                        .number("out zone-most", BigDecimal.valueOf(usual.zoneMost()))
                        .intValue(),
                parsedSettings
                        .number("out zone-share", BigDecimal.valueOf(usual.zoneShare()))
                        .doubleValue(),
                parsedSettings
                        .number("out least-in", BigDecimal.valueOf(usual.leastIn()))
                        .intValue(),
                voters);
    }

    public boolean votes() {
        return listen != null;
    }

    List<NodeName> names() {
        return new ArrayList<>(voters.keySet());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
