package lupinwood.settings;

import static lupinwood.settings.ChangeEffect.AT_ONCE;
import static lupinwood.settings.ChangeEffect.NEW_CONNECTIONS;
import static lupinwood.settings.ChangeEffect.NEW_REQUESTS;
import static lupinwood.settings.ChangeEffect.REFUSED;
import static lupinwood.settings.ChangeEffect.RESTART;
import static lupinwood.settings.ValueType.ADDRESS;
import static lupinwood.settings.ValueType.COUNT;
import static lupinwood.settings.ValueType.DURATION;
import static lupinwood.settings.ValueType.DURATION_MILLIS;
import static lupinwood.settings.ValueType.FLAG;
import static lupinwood.settings.ValueType.HEX;
import static lupinwood.settings.ValueType.MEMORY_KB;
import static lupinwood.settings.ValueType.MEMORY_MB;
import static lupinwood.settings.ValueType.NUMBER;
import static lupinwood.settings.ValueType.RATE;
import static lupinwood.settings.ValueType.SHARE;
import static lupinwood.settings.ValueType.TEXT;
import static lupinwood.settings.ValueType.WORD;
import static lupinwood.settings.ValueType.WORDS;
import static lupinwood.settings.Violation.ABSENT;
import static lupinwood.settings.Violation.FRACTION;
import static lupinwood.settings.Violation.TOO_LITTLE;
import static lupinwood.settings.Violation.TOO_MUCH;
import static lupinwood.settings.Violation.UNKNOWN_WORD;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All entries, in the order in which they are written and explained. */
public final class Schema {
    public static final String REQUEST_CLASS = "track";
    public static final String TENANT = "customer";
    public static final String ROUTE = "route";
    public static final String SERVER = "server";
    public static final String VOTER = "voter";

    /** All lists, in the order in which their items are written. */
    public static final List<String> LISTS = List.of(TENANT, REQUEST_CLASS, ROUTE, SERVER, VOTER);

    /** The section of entries that this build has no name for; they reach the node as they are. */
    public static final String EXTRA = "extra";

    private static final String HOUR = "3600000000000";
    private static final String DAY = "86400000000000";
    private static final String FIXED =
            "the node's picture of its machine is built on it from the start";
    private static final String ROUTED = "routes are read once";
    private static final String BOUNDS = "who leads the council goes by its own file";
    private static final String LED = "whoever leads a release goes by its own file";
    private static final String JOINED = "the node joins its fleet with it once";
    private static final String JUDGED =
            "the decisions read it anew each time, and no rule hangs on it";

    /**
     * What the platform tells every node and this one needn't read: its own place in the fleet,
     * habits, prices, reports.
     */
    private static final Set<String> NOT_NEEDED =
            Set.of(
                    "azs",
                    "bounds.cpu_us_per_request",
                    "bounds.cpu_us_per_s",
                    "domain.fresh_ns",
                    "domain.passes_deadline",
                    "domain.real_checks",
                    "domain.registry_follows",
                    "slot_no",
                    "tier",
                    "tiers",
                    "workload",
                    "worth_by",
                    "zone");

    private static final List<String> NOT_NEEDED_DOWNSTREAM =
            List.of("callers.", "prices.", "reporting.");

    private static final List<Entry> ALL = new ArrayList<>();
    private static final Map<String, Entry> BY_NAME = new LinkedHashMap<>();
    private static final Map<String, Entry> BY_KEY = new LinkedHashMap<>();
    private static final Map<String, List<Entry>> BY_LIST = new LinkedHashMap<>();

    private Schema() {}

    static {
        at("name", "name", TEXT)
                .needed()
                .change(RESTART, "the name service lists the node by it")
                .says("The node's name, under which it reports to the name service.");
        at("listen", "listen", ADDRESS)
                .needed()
                .change(RESTART, "dispatchers hold connections to it")
                .says("Where dispatchers connect; the node listens on this address only.");
        at("executor", "executor", ADDRESS)
                .needed()
                .change(AT_ONCE, "the link is handed over; runs go on")
                .says("Where the executor listens, which carries out the tickets.");
        at("index", "index", ADDRESS)
                .otherwise("needed where there is something below to call")
                .change(AT_ONCE, "calls that are out may still come back where they are")
                .says("Where the index listens, to which tickets' calls go.");
        at("naming", "naming", ADDRESS)
                .needed()
                .change(AT_ONCE, "the next report goes there")
                .says("Where the name service listens.");
        at("seed", "seed", HEX)
                .needed()
                .change(RESTART, "chance is drawn from it once")
                .says("Where the node's chance begins; new with each start.");
        at("stop", "stop_ms", DURATION_MILLIS)
                .from("1000000", HOUR)
                .needed()
                .change(
                        AT_ONCE,
                        "it is read when the notice to leave comes; after that no configuration is taken over")
                .says("How long after the notice to leave the process is killed.");
        at("step", "settings.step_ns", DURATION)
                .from("1000", "1000000000")
                .needed()
                .bears("the node's own pace on sockets", ABSENT, TOO_MUCH)
                .change(RESTART, FIXED)
                .says(
                        "The shortest time between two looks at the clock that the node can count on.");
        at("group-size", "settings.group_size", COUNT)
                .from("1", "1000000")
                .otherwise("1")
                .bears("the number as it is, and 1 for less", TOO_LITTLE, TOO_MUCH, FRACTION)
                .change(AT_ONCE, "customers' shares of this node are reckoned anew from it")
                .says("How many nodes share the traffic; a customer's quota is split among them.");
        at("over-share-credit", "settings.over_share_worth", SHARE)
                .from("0", "1")
                .otherwise("100%")
                .change(AT_ONCE, JUDGED)
                .says("The part of its credit that a ticket beyond its customer's share is worth.");

        at("limits cores", "limits.cores", NUMBER)
                .from("0.001", "1024")
                .otherwise("not told")
                .bears("nothing, since nothing hangs on it", TOO_LITTLE, TOO_MUCH)
                .change(RESTART, "the platform sets it")
                .says("The cores that this process may use.");
        at("limits memory", "limits.memory_mb", MEMORY_MB)
                .from("16000000", "1000000000000")
                .otherwise("not told")
                .bears("nothing, since nothing hangs on it", TOO_LITTLE, TOO_MUCH)
                .change(RESTART, "the JVM's heap has its size from the start")
                .says("The memory that this process may use.");
        at("limits descriptors", "limits.sockets", COUNT)
                .from("1", "1000000")
                .needed()
                .bears("the whole number below it, and 1000000 for more", TOO_MUCH, FRACTION)
                .change(RESTART, "tables are laid out for it")
                .says("How many descriptors this process may hold.");

        at("customer * share", "settings.customers.#.share", SHARE)
                .from("0", "1")
                .otherwise("not told")
                .change(AT_ONCE, JUDGED)
                .says("The customer's part of the service.");
        at("customer * quota", "settings.customers.#.quota_rps", RATE)
                .from("0", "1000000000")
                .otherwise("none, so that nothing of it is beyond its share")
                .change(AT_ONCE, "what is saved up of the old quota is cut to the new one")
                .says("Tickets a second across all nodes that are within the customer's share.");

        at("track * effect", "settings.services.#.effect", WORD)
                .words("pure", "pure", "token", "receipted", "side_effect", "effectful")
                .needed()
                .bears("effectful, which is never run twice", ABSENT)
                .change(
                        REFUSED,
                        "marks kept under the old effect would no longer stop a second run")
                .says("What running a ticket of the track twice would do.");
        at("track * credit", "settings.services.#.worth", NUMBER)
                .from("0", "1000000000")
                .otherwise("1")
                .change(AT_ONCE, JUDGED)
                .says("What a satisfied ticket of the track earns.");
        at("track * late-value", "settings.services.#.late_value", SHARE)
                .from("0", "1")
                .otherwise("0%")
                .change(AT_ONCE, JUDGED)
                .says("The part of the credit that an answer after the agreed time earns.");
        at("track * agreed-time", "settings.services.#.aim_ns", DURATION)
                .from("1000000", DAY)
                .needed()
                .change(NEW_REQUESTS, "a ticket's place in the order is fixed when it comes")
                .says("How soon after it came a ticket's answer earns its full credit.");
        at("track * agreed-stretch", "settings.services.#.aim_stretch", NUMBER)
                .from("0", "1000")
                .otherwise("0")
                .change(NEW_REQUESTS, "a ticket's place in the order is fixed when it comes")
                .says("The agreed time grows by this multiple of a ticket's own work.");
        at("track * abandon-time", "settings.services.#.give_up_ns", DURATION)
                .from("1000000", DAY)
                .needed()
                .change(
                        NEW_REQUESTS,
                        "a ticket in hand is owed its answer by the time it came under")
                .says("How long after it came the caller gives a ticket up.");
        at("track * window", "settings.services.#.window_ns", DURATION)
                .from("0", DAY)
                .otherwise(
                        "0s; a receipted track must have one, and is given its abandon time where the platform tells none")
                .change(
                        NEW_REQUESTS,
                        "a receipt in hand is kept for the window that it was promised")
                .says(
                        "How long after it came a receipted ticket may come again and must not run twice.");
        at("track * calls", "settings.domain.class_calls.#", FLAG)
                .otherwise("#false")
                .change(RESTART, "tickets in hand are counted by it")
                .says("Whether its tickets may call the index.");
        at("track * skip-credit", "settings.domain.class_skip_worth.#", SHARE)
                .from("0", "1")
                .otherwise("0%")
                .change(RESTART, "calls in hand are cut by it")
                .says("The part of the credit that an answer without its call earns.");

        at("machine cores", "settings.domain.cpus", COUNT)
                .from("1", "4096")
                .otherwise("1")
                .bears("the number as it is", FRACTION)
                .change(RESTART, FIXED)
                .says("The executor's cores.");
        at("machine memory", "settings.domain.memory_kb", MEMORY_KB)
                .from("1000", "1000000000000000")
                .otherwise("no bound")
                .change(RESTART, FIXED)
                .says("The memory in which tickets are held and run.");
        at("machine entry-memory", "settings.domain.entry_kb", MEMORY_KB)
                .from("0", "1000000000000")
                .otherwise("0KB")
                .change(RESTART, FIXED)
                .says("The memory that one kept receipt takes.");
        at("machine run-memory-factor", "settings.domain.run_mem_factor", NUMBER)
                .from("1", "1000")
                .otherwise("1")
                .bears("the number as it is", TOO_LITTLE)
                .change(RESTART, FIXED)
                .says("A running ticket takes this multiple of its memory.");
        at("machine below", "settings.domain.below", WORD)
                .words("off", "nothing", "one_for_all", "one-for-all", "tier", "tier")
                .otherwise("nothing")
                .bears("a next tier, of which nothing is told", UNKNOWN_WORD)
                .change(RESTART, FIXED)
                .says("What tickets call: nothing, one dependency of all nodes, or a next tier.");
        at("machine upstreams", "settings.domain.upstreams", COUNT)
                .from("0", "1000000000")
                .otherwise("1")
                .bears("the number as it is", FRACTION)
                .change(AT_ONCE, JUDGED)
                .says("How many callers share this node's allowance.");
        at("machine calls-out", "settings.domain.calls_out", NUMBER)
                .from("0", "1000000000")
                .otherwise("no bound")
                .change(RESTART, "calls in hand were let out under it")
                .says(
                        "This node's part of the calls that the dependency survives, as a mean number in hand.");
        at("machine calls-over", "settings.domain.calls_over_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .change(RESTART, FIXED)
                .says("The time over which calls in hand are averaged.");
        at("machine linger", "settings.domain.linger_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .change(RESTART, "calls given up are counted in hand by it")
                .says("How long a call that was given up may stay in the dependency's hands.");
        at("machine cold", "settings.domain.cold", FLAG)
                .otherwise("#false; the executor's word replaces it")
                .change(RESTART, "the executor tells it")
                .says("Whether the executor was started just now.");
        at("machine gauges", "settings.domain.gauges", WORDS)
                .otherwise("none")
                .change(RESTART, FIXED)
                .says("What the executor's gauges are called, in their order.");
        at("machine stop-mode", "settings.domain.stop_mode", WORD)
                .words("off", "off", "discard", "discard", "freeze", "freeze")
                .otherwise("off")
                .bears("off", UNKNOWN_WORD)
                .change(RESTART, FIXED)
                .says("Whether running work can be stopped, losing or keeping what was done.");
        at("machine advice", "settings.domain.advert", WORD)
                .words("off", "off", "floor", "floor", "allowance", "allowance", "weight", "weight")
                .otherwise("off")
                .bears("off", UNKNOWN_WORD)
                .change(RESTART, "callers hold on to the last value and its meaning")
                .says("What callers take the free value on answers to mean.");
        at("machine advice-heeded", "settings.domain.heeded_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .bears("nothing, since nothing hangs on it", TOO_MUCH)
                .change(RESTART, FIXED)
                .says("How long callers keep the free value in mind.");
        at("machine idle-connections", "settings.domain.keepalive_max_ns", DURATION)
                .from("0", DAY)
                .otherwise("an hour")
                .change(NEW_CONNECTIONS, "a connection that is idle keeps the time it was given")
                .says("How long callers keep an idle connection.");
        at("machine tells-gone", "settings.domain.tells_gone", FLAG)
                .otherwise("#false")
                .change(RESTART, FIXED)
                .says("Whether the node hears of a caller that gives up.");

        for (String[] part :
                new String[][] {
                    {"whole", "whole", "the whole day"},
                    {"worst-track", "worst_class", "the track served worst"},
                    {"worst-customer", "worst_tenant", "the customer served worst"},
                    {"worst-window", "worst_window", "the worst ten seconds"}
                }) {
            at("goal " + part[0], "settings.goal." + part[1], SHARE)
                    .from("0", "1")
                    .otherwise("0%")
                    .change(AT_ONCE, JUDGED)
                    .says("The weight in the goal of " + part[2] + ".");
        }
        at("bounced come-back-after-most", "settings.bounds.max_retry_after_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .change(AT_ONCE, JUDGED)
                .says("The longest time to stay away that callers follow.");
        at("bounced tells-when", "settings.bounds.retry_after", FLAG)
                .otherwise("#false")
                .change(RESTART, FIXED)
                .says("Whether callers are told when to come back.");
        at("rules answer-slack", "settings.rules.answer_slack_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .bears("nothing, since nothing hangs on it", TOO_MUCH)
                .change(RESTART, FIXED)
                .says("How long past its abandon time a ticket's answer still counts.");
        at("rules drain-grace", "settings.rules.drain_grace_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .change(
                        AT_ONCE,
                        "it counts from the notice to leave; after that no configuration is taken over")
                .says("Nothing that comes this long after the notice to leave is run.");
        at("rules cold-share", "settings.rules.cold_share", SHARE)
                .from("0.000001", "1")
                .otherwise("100%")
                .bears("the share as it is", TOO_LITTLE)
                .change(RESTART, FIXED)
                .says("The part of its speed that a cold machine has at least.");
        at("rules warm-after", "settings.rules.ramp_time_ns", DURATION)
                .from("0", DAY)
                .otherwise("0s")
                .change(RESTART, FIXED)
                .says("When a cold machine is warm at the latest.");
        at("rules crowd", "settings.rules.fall_multiple", NUMBER)
                .from("1", "1000000")
                .otherwise("3")
                .change(RESTART, FIXED)
                .says("How many running tickets a core of a warm machine survives.");
        at("rules crowd-over", "settings.rules.fall_ns", DURATION)
                .from("0", HOUR)
                .otherwise("0s")
                .change(RESTART, FIXED)
                .says("The time over which the crowd on the cores is averaged.");

        at("moves welcome-within", "operator.moves.welcome_within_ns", DURATION)
                .from("10000000", HOUR)
                .otherwise("off: the node waits for a new executor for good")
                .change(AT_ONCE, "it counts for the next move")
                .says(
                        "How long a new executor has to say WELCOME before the node goes back to the old one.");

        at("ajp listen", "operator.ajp.listen", ADDRESS)
                .otherwise("off: no AJP")
                .change(RESTART, "web servers hold" + " connections to it")
                .says("Where web servers connect that speak AJP.");
        at("ajp secret", "operator.ajp.secret", TEXT)
                .otherwise("none; the node then listens on loopback only")
                .change(RESTART, "connections were let in by it")
                .says("What a web server must show with each request.");
        at("ajp packet-bytes", "operator.ajp.packet_bytes", COUNT)
                .from("8192", "65535")
                .otherwise("8192")
                .change(RESTART, "both sides agree on it")
                .says("The largest AJP packet, its head included.");
        at("route * path", "operator.routes.#.path", TEXT)
                .needed()
                .change(RESTART, ROUTED)
                .says(
                        "Which requests are tickets of the route: a path, or the start of paths with * behind it.");
        at("route * method", "operator.routes.#.method", TEXT)
                .otherwise("any")
                .change(RESTART, ROUTED)
                .says("The method that a request must have.");
        at("route * track", "operator.routes.#.track", TEXT)
                .needed()
                .change(RESTART, ROUTED)
                .says("The track of its tickets.");
        at("route * customer", "operator.routes.#.customer", TEXT)
                .otherwise("as the customer header says")
                .change(RESTART, ROUTED)
                .says("The customer of its tickets.");
        at("route * customer-header", "operator.routes.#.customer_header", TEXT)
                .otherwise("X-Customer")
                .change(RESTART, ROUTED)
                .says("The header that names a ticket's customer.");
        at("route * mark-header", "operator.routes.#.mark_header", TEXT)
                .otherwise("X-Mark")
                .change(RESTART, ROUTED)
                .says("The header with a receipted ticket's mark, of 1 to 64 hexadecimal digits.");
        at("route * memory", "operator.routes.#.memory_kb", MEMORY_KB)
                .from("1", "1999000")
                .otherwise("20KB")
                .change(RESTART, ROUTED)
                .says("The memory booked for a ticket of the route while it is held.");
        at("server * address", "operator.servers.#.address", ADDRESS)
                .needed()
                .change(RESTART, ROUTED)
                .says("Where the server listens, which speaks AJP.");
        at("server * tracks", "operator.servers.#.tracks", WORDS)
                .needed()
                .change(RESTART, ROUTED)
                .says("Whose tickets it carries out, in place of the executor.");
        at("server * secret", "operator.servers.#.secret", TEXT)
                .otherwise("none")
                .change(RESTART, ROUTED)
                .says("What the node shows it with each request.");
        at("server * region", "operator.servers.#.region", TEXT)
                .otherwise("region")
                .change(RESTART, ROUTED)
                .says("The region that the server stands in.");
        at("server * zone", "operator.servers.#.zone", TEXT)
                .otherwise("zone")
                .change(RESTART, ROUTED)
                .says("The zone that the server stands in.");
        at("server * bears", "operator.servers.#.bears", COUNT)
                .from("1", "1000000")
                .otherwise("not told; it is then not planned")
                .change(RESTART, ROUTED)
                .says(
                        "How many tickets at once the server bears, from all nodes of the fleet together.");
        at("server * near", "operator.servers.#.near", COUNT)
                .from("0", "1000000")
                .otherwise("1")
                .change(RESTART, ROUTED)
                .says("How many a node of its zone may have there without a plan.");
        at("server * far", "operator.servers.#.far", COUNT)
                .from("0", "1000000")
                .otherwise("0")
                .change(RESTART, ROUTED)
                .says("How many a node of another zone may have there without a plan.");
        at("server * stays-in-region", "operator.servers.#.stays_in_region", FLAG)
                .otherwise("#false")
                .change(RESTART, ROUTED)
                .says("Whether no node of another region may ever send there.");
        at("fleet region", "operator.fleet.region", TEXT)
                .otherwise("region")
                .change(RESTART, JOINED)
                .says("The region that the node stands in.");
        at("fleet zone", "operator.fleet.zone", TEXT)
                .otherwise("zone")
                .change(RESTART, JOINED)
                .says("The zone that the node stands in.");
        at("fleet listen", "operator.fleet.listen", ADDRESS)
                .otherwise("its address as a voter")
                .change(RESTART, "nodes hold connections to it")
                .says(
                        "Where a voter listens for other nodes, on a private net; nodes that are no voters don't listen.");
        at("fleet folder", "operator.fleet.folder", TEXT)
                .otherwise("none; a voter must have one")
                .change(RESTART, JOINED)
                .says("Where a voter keeps what it must not forget.");
        at("fleet report", "operator.fleet.report", ADDRESS)
                .otherwise("nowhere")
                .change(RESTART, JOINED)
                .says("Where the keeper puts the fleet's picture, by HTTP.");
        at("fleet lease", "operator.fleet.lease_ns", DURATION)
                .from("300000000", "600000000000")
                .otherwise("3s")
                .change(RESTART, "all nodes must count by the same")
                .says("How long a duty is held without a word from the council.");
        at("fleet drift", "operator.fleet.drift", SHARE)
                .from("0", "0.2")
                .otherwise("1%")
                .change(RESTART, "all nodes must count by the same")
                .says("How far apart two nodes' clocks may run, at the most.");
        at("out most", "operator.out.most", COUNT)
                .from("1", "1000000")
                .otherwise("no bound")
                .change(RESTART, BOUNDS)
                .says("How many nodes of the fleet may be out at once, whatever the reason.");
        at("out share", "operator.out.share", SHARE)
                .from("0", "1")
                .otherwise("10%; one node in any case")
                .change(RESTART, BOUNDS)
                .says("How much of the fleet may be out at once.");
        at("out zone-most", "operator.out.zone_most", COUNT)
                .from("1", "1000000")
                .otherwise("no bound")
                .change(RESTART, BOUNDS)
                .says("How many nodes of one zone may be out at once.");
        at("out zone-share", "operator.out.zone_share", SHARE)
                .from("0", "1")
                .otherwise("34%; one node in any case")
                .change(RESTART, BOUNDS)
                .says("How much of one zone may be out at once.");
        at("out least-in", "operator.out.least_in", COUNT)
                .from("0", "1000000")
                .otherwise("1")
                .change(RESTART, BOUNDS)
                .says("How many nodes of the fleet have to stay in.");
        at("out below-most", "operator.out.below_most", COUNT)
                .from("1", "1000000")
                .otherwise("1")
                .change(RESTART, BOUNDS)
                .says("How many servers below may rest at once.");
        at("release watch", "operator.release.watch_ns", DURATION)
                .from("1000000000", DAY)
                .otherwise("1m")
                .change(RESTART, LED)
                .says("How long each wave of a release is watched at the least.");
        at("release watch-most", "operator.release.watch_most_ns", DURATION)
                .from("1000000000", DAY)
                .otherwise("15m")
                .change(RESTART, LED)
                .says("How long a wave is watched while it isn't sure; then the release halts.");
        at("release harm", "operator.release.harm", SHARE)
                .from("0.001", "0.5")
                .otherwise("3%")
                .change(RESTART, LED)
                .says(
                        "The part of all tickets that may not go wrong beside what goes wrong anyway.");
        at("voter * address", "operator.voters.#.address", ADDRESS)
                .needed()
                .change(AT_ONCE, "what is said next goes there")
                .says(
                        "Where the voter is reached; three or five nodes are voters, by their own names.");
    }

    public static List<Entry> all() {
        return Collections.unmodifiableList(ALL);
    }

    /** The entries of each item of a list, or with an empty name those that stand alone. */
    public static List<Entry> of(String list) {
        return BY_LIST.getOrDefault(list, List.of());
    }

    /** The entry of this name, with {@code *} for an item's name; null where there is none. */
    public static Entry named(String name) {
        return BY_NAME.get(name);
    }

    /**
     * Whether a key of the JSON is the platform's own word that this program knows and has no use
     * for.
     */
    public static boolean isNotNeeded(String key) {
        String own = key.startsWith("settings.") ? key.substring("settings.".length()) : "";
        return NOT_NEEDED.contains(own) || NOT_NEEDED_DOWNSTREAM.stream().anyMatch(own::startsWith);
    }

    /** The entry with this key, with {@code #} for an item's place; null where there is none. */
    public static Entry keyed(String key) {
        return BY_KEY.get(key);
    }

    private static Builder at(String name, String key, ValueType kind) {
        return new Builder(name, key, kind);
    }

    private static final class Builder {
        private final String name;
        private final String key;
        private final ValueType kind;
        private BigDecimal least;
        private BigDecimal most;
        private final List<String> stored = new ArrayList<>();
        private final List<String> said = new ArrayList<>();
        private boolean required;
        private String otherwise = "";
        private Set<Violation> lapses = Set.of();
        private String instead = "";
        private ChangeEffect change;
        private String because;

        Builder(String name, String key, ValueType kind) {
            this.name = name;
            this.key = key;
            this.kind = kind;
        }

        Builder from(String from, String to) {
            least = new BigDecimal(from);
            most = new BigDecimal(to);
            return this;
        }

        Builder words(String... pairs) {
            for (int i = 0; i < pairs.length; i += 2) {
                stored.add(pairs[i]);
                said.add(pairs[i + 1]);
            }
            return this;
        }

        Builder needed() {
            required = true;
            return this;
        }

        Builder otherwise(String text) {
            otherwise = text;
            return this;
        }

        Builder bears(String what, Violation... amiss) {
            instead = what;
            lapses = Set.of(amiss);
            return this;
        }

        Builder change(ChangeEffect when, String why) {
            change = when;
            because = why;
            return this;
        }

        void says(String meaning) {
            Entry entry =
                    new Entry(
                            name,
                            key,
                            kind,
                            least,
                            most,
                            List.copyOf(stored),
                            List.copyOf(said),
                            required,
                            otherwise,
                            lapses,
                            instead,
                            change,
                            because,
                            meaning);
            ALL.add(entry);
            BY_NAME.put(name, entry);
            BY_KEY.put(key, entry);
            BY_LIST.computeIfAbsent(entry.list(), list -> new ArrayList<>()).add(entry);
        }
    }
}
