package lupinwood.settings;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What must hold of a meaning as a whole: bounds, what is needed, and what fits together. */
public final class SettingsValidator {
    /**
     * Links and the process itself need as many descriptors at the least, with a few left for
     * upstream load balancers.
     */
    private static final int LEAST_DESCRIPTORS = 32;

    /** Tables, idempotency records and the JVM itself, in bytes. */
    private static final long LEAST_MEMORY = 28_000_000;

    private static final BigDecimal SHARE_SLACK = new BigDecimal("0.005");

    private final ParsedSettings parsedSettings;
    private final List<SettingsError> errors = new ArrayList<>();

    /** Entries that are known to be wrong already: one mistake gives one message. */
    private final Set<String> wrong = new HashSet<>();

    private SettingsValidator(ParsedSettings parsedSettings, List<SettingsError> known) {
        this.parsedSettings = parsedSettings;
        known.forEach(error -> wrong.add(error.name()));
    }

    /** What is wrong besides the faults that are known. */
    public static List<SettingsError> of(ParsedSettings parsedSettings, List<SettingsError> known) {
        SettingsValidator checks = new SettingsValidator(parsedSettings, known);
        checks.bounds();
        checks.needed();
        checks.lists();
        checks.sums();
        checks.requestClasses();
        checks.downstream();
        checks.addresses();
        checks.limits();
        checks.routes();
        checks.servers();
        checks.fleet();
        return checks.errors;
    }

    /** What is wrong within single entries of a meaning whose rest stands elsewhere. */
    public static List<SettingsError> ofPart(
            ParsedSettings parsedSettings, List<SettingsError> known) {
        SettingsValidator checks = new SettingsValidator(parsedSettings, known);
        checks.bounds();
        return checks.errors;
    }

    private void fault(String name, String text, String instead, boolean certain) {
        if (wrong.add(name)) {
            errors.add(new SettingsError(name, text, instead, certain));
        }
    }

    private boolean isSound(String name) {
        return parsedSettings.value(name) != null && !wrong.contains(name);
    }

    private BigDecimal number(String name) {
        return parsedSettings.number(name, null);
    }

    private String said(String name) {
        return ParsedSettings.said(name, parsedSettings.value(name));
    }

    private void bounds() {
        parsedSettings
                .values()
                .forEach(
                        (name, value) -> {
                            Entry entry = ParsedSettings.entry(name);
                            if (entry == null || wrong.contains(name)) {
                                return;
                            }
                            if (entry.kind() == ValueType.WORD && !entry.saidAs().contains(value)) {
                                fault(
                                        name,
                                        value + " is no " + entry.own() + " that is known here",
                                        ParsedSettings.wanted(entry),
                                        !entry.bears(Violation.UNKNOWN_WORD));
                            }
                            if (!entry.kind().isNumber() || entry.least() == null) {
                                return;
                            }
                            BigDecimal number = new BigDecimal(value);
                            String bounds =
                                    "write a value from "
                                            + Values.said(entry, Values.plain(entry.least()))
                                            + " to "
                                            + Values.said(entry, Values.plain(entry.most()));
                            if (number.compareTo(entry.least()) < 0) {
                                fault(
                                        name,
                                        said(name) + " is too little for " + name,
                                        bounds,
                                        !entry.bears(Violation.TOO_LITTLE) || number.signum() < 0);
                            } else if (number.compareTo(entry.most()) > 0) {
                                fault(
                                        name,
                                        said(name) + " is too much for " + name,
                                        bounds,
                                        !entry.bears(Violation.TOO_MUCH));
                            } else if (entry.kind() == ValueType.COUNT
                                    && number.stripTrailingZeros().scale() > 0) {
                                fault(
                                        name,
                                        said(name) + " is no whole number",
                                        "write a whole number, as 2",
                                        !entry.bears(Violation.FRACTION));
                            }
                        });
    }

    private void needed() {
        for (Entry entry : Schema.all()) {
            if (!entry.required()) {
                continue;
            }
            if (entry.list().isEmpty()) {
                need(entry.name(), "");
            } else {
                parsedSettings
                        .named(entry)
                        .forEach(
                                name ->
                                        need(
                                                name,
                                                " of " + name.substring(0, name.lastIndexOf(' '))));
            }
        }
        if (parsedSettings.requestClasses().isEmpty()) {
            fault(
                    "",
                    "there is no track, so no ticket could be taken",
                    "add a track with its effect, agreed-time" + " and abandon-time",
                    true);
        }
    }

    private void need(String name, String of) {
        if (parsedSettings.value(name) == null) {
            Entry entry = ParsedSettings.entry(name);
            fault(
                    name,
                    "'" + entry.own() + "'" + of + " is missing",
                    "add "
                            + entry.own()
                            + ": "
                            + (entry.saidAs().isEmpty()
                                    ? entry.kind().wanted()
                                    : "one of " + String.join(", ", entry.saidAs())),
                    !entry.bears(Violation.ABSENT));
        }
    }

    private void lists() {
        twice("track", parsedSettings.requestClasses(), true);
        // Two of one name share what is theirs, and no request is served otherwise for it.
        twice("customer", parsedSettings.tenants(), false);
    }

    private void twice(String list, List<String> names, boolean certain) {
        Set<String> observed = new HashSet<>();
        for (String name : names) {
            if (!observed.add(name)) {
                fault(
                        list + " " + name,
                        "there are two entries '" + list + " " + name + "'",
                        "give each " + list + " a name of its own",
                        certain);
            }
        }
    }

    private void sums() {
        Map<String, BigDecimal> shares = new LinkedHashMap<>();
        for (String tenant : parsedSettings.tenants()) {
            String name = "customer " + tenant + " share";
            if (isSound(name)) {
                shares.put(name, number(name));
            }
        }
        if (shares.size() == parsedSettings.tenants().size()) {
            sum("the customers' shares", shares);
        }
        Map<String, BigDecimal> goal = new LinkedHashMap<>();
        for (String part : List.of("whole", "worst-track", "worst-customer", "worst-window")) {
            if (isSound("goal " + part)) {
                goal.put("goal " + part, number("goal " + part));
            }
        }
        sum("the parts of the goal", goal);
    }

    private void sum(String what, Map<String, BigDecimal> parts) {
        BigDecimal sum = parts.values().stream().reduce(BigDecimal.ZERO, BigDecimal::add);
        if (!parts.isEmpty() && sum.subtract(BigDecimal.ONE).abs().compareTo(SHARE_SLACK) > 0) {
            String last = parts.keySet().stream().reduce((a, b) -> b).orElse("");
            BigDecimal fits = parts.get(last).add(BigDecimal.ONE.subtract(sum));
            String percent = Values.plain(sum.movePointRight(2)) + "%";
            fault(
                    last,
                    what + " make " + percent + ", not 100%",
                    fits.signum() < 0
                            ? "lower them until they make 100%"
                            : "write "
                                    + Values.plain(fits.movePointRight(2))
                                    + "% here, or change the others",
                    false);
        }
    }

    private void requestClasses() {
        for (String className : parsedSettings.requestClasses()) {
            String at = "track " + className + " ";
            String latencyObjective = at + "agreed-time";
            String timeout = at + "abandon-time";
            String window = at + "window";
            if (isSound(latencyObjective)
                    && isSound(timeout)
                    && number(latencyObjective).compareTo(number(timeout)) > 0) {
                fault(
                        latencyObjective,
                        "the agreed time "
                                + said(latencyObjective)
                                + " is past the abandon time "
                                + said(timeout)
                                + " of track "
                                + className,
                        "write a time up to " + said(timeout),
                        false);
            }
            if (isSound(timeout)
                    && isSound("step")
                    && number("step").multiply(new BigDecimal(4)).compareTo(number(timeout)) > 0) {
                fault(
                        "step",
                        "the step "
                                + said("step")
                                + " leaves no time to answer a ticket of track "
                                + className
                                + " within "
                                + said(timeout),
                        "write a quarter of the shortest abandon-time or less",
                        false);
            }
            boolean idempotent = "receipted".equals(parsedSettings.value(at + "effect"));
            if (idempotent && parsedSettings.value(window) == null) {
                fault(
                        window,
                        "the receipted track "
                                + className
                                + " has no window, so a repeat could run twice",
                        "add window: a time with its unit, no shorter than abandon-time",
                        false);
            } else if (idempotent
                    && isSound(window)
                    && isSound(timeout)
                    && number(window).compareTo(number(timeout)) < 0) {
                fault(
                        window,
                        "the window "
                                + said(window)
                                + " is shorter than the abandon time "
                                + said(timeout)
                                + " of receipted track "
                                + className,
                        "write " + said(timeout) + " or more",
                        false);
            }
            if (calls(className)
                    && "nothing"
                            .equals(
                                    parsedSettings
                                            .values()
                                            .getOrDefault("machine below", "nothing"))) {
                fault(
                        at + "calls",
                        "tickets of track "
                                + className
                                + " may call, but there is nothing below to call",
                        "write #false, or say in machine what is below",
                        false);
            }
        }
    }

    /** Where requests call, there must be somewhere to call, and room for a call. */
    private void downstream() {
        String downstream = parsedSettings.values().getOrDefault("machine below", "nothing");
        if (downstream.equals("nothing")) {
            return;
        }
        if (parsedSettings.value("index") == null) {
            boolean calls = parsedSettings.requestClasses().stream().anyMatch(this::calls);
            fault(
                    "index",
                    "'index' is missing, and machine below is " + downstream,
                    "add index: " + ParsedSettings.entry("index").kind().wanted(),
                    calls);
        }
        String most = "machine calls-out";
        if (downstream.equals("one-for-all") && isSound(most) && number(most).signum() == 0) {
            boolean noneWithout =
                    parsedSettings.requestClasses().stream()
                            .allMatch(
                                    className ->
                                            calls(className)
                                                    && parsedSettings
                                                                    .number(
                                                                            "track "
                                                                                    + className
                                                                                    + " skip-credit",
                                                                            BigDecimal.ZERO)
                                                                    .signum()
                                                            == 0);
            fault(
                    most,
                    said(most) + " calls out leave none of the one dependency to this node",
                    "write this node's part of the calls that it survives",
                    noneWithout);
        }
    }

    private boolean calls(String className) {
        return "true".equals(parsedSettings.value("track " + className + " calls"));
    }

    private void addresses() {
        Map<String, String> first = new HashMap<>();
        for (String name : List.of("listen", "executor", "index", "naming", "ajp listen")) {
            String other =
                    isSound(name) ? first.putIfAbsent(parsedSettings.value(name), name) : null;
            if (other != null) {
                fault(
                        name,
                        name + " has the address of " + other + ", " + parsedSettings.value(name),
                        "give each its own address",
                        other.equals("listen"));
            }
        }
    }

    private void limits() {
        String descriptors = "limits descriptors";
        if (isSound(descriptors) && number(descriptors).intValue() < LEAST_DESCRIPTORS) {
            fault(
                    descriptors,
                    said(descriptors) + " descriptors leave none for calls and dispatchers",
                    "write " + LEAST_DESCRIPTORS + " or more",
                    true);
        }
        String memory = "limits memory";
        if (isSound(memory) && number(memory).longValue() < LEAST_MEMORY) {
            fault(
                    memory,
                    said(memory) + " are too little for the node's own tables",
                    "write 28MB or more",
                    false);
        }
        String leased = "machine memory";
        String entry = "machine entry-memory";
        if (isSound(leased) && isSound(entry) && number(entry).compareTo(number(leased)) > 0) {
            fault(
                    entry,
                    "one receipt takes "
                            + said(entry)
                            + ", more than the machine's "
                            + said(leased),
                    "write less than " + said(leased),
                    false);
        }
    }

    private void routes() {
        Map<String, String> paths = new HashMap<>();
        for (String route : parsedSettings.items(Schema.ROUTE)) {
            String at = "route " + route + " ";
            String path = parsedSettings.values().getOrDefault(at + "path", "/");
            String className = parsedSettings.value(at + "track");
            String tenant = parsedSettings.value(at + "customer");
            if (!path.startsWith("/")) {
                fault(
                        at + "path",
                        "the path " + path + " doesn't begin with /",
                        "write /" + path,
                        true);
            }
            String other =
                    paths.putIfAbsent(
                            parsedSettings.values().getOrDefault(at + "method", "any") + " " + path,
                            route);
            if (other != null) {
                fault(
                        at + "path",
                        "route " + other + " has the same path and method",
                        "give each its own",
                        true);
            }
            if (className != null && !parsedSettings.requestClasses().contains(className)) {
                fault(
                        at + "track",
                        "there is no track " + className,
                        "write one of: " + String.join(", ", parsedSettings.requestClasses()),
                        true);
            }
            if (tenant != null && !parsedSettings.tenants().contains(tenant)) {
                fault(
                        at + "customer",
                        "there is no customer " + tenant,
                        "write one of: " + String.join(", ", parsedSettings.tenants()),
                        true);
            }
        }
        String listen = parsedSettings.value("ajp listen");
        if (listen != null
                && parsedSettings.value("ajp secret") == null
                && !listen.matches("(127\\.[0-9.]+|localhost|\\[::1\\]):.*")) {
            fault(
                    "ajp listen",
                    "without a secret AJP listens on loopback only",
                    "add secret, or write \"127.0.0.1:8009\"",
                    true);
        }
        if (listen != null && parsedSettings.items(Schema.ROUTE).isEmpty()) {
            fault(
                    "ajp listen",
                    "no route says which requests are tickets",
                    "add route NAME { path \"/...\"; track ... }",
                    true);
        }
    }

    private void servers() {
        for (String server : parsedSettings.items(Schema.SERVER)) {
            String name = "server " + server + " tracks";
            for (String className : parsedSettings.values().getOrDefault(name, "").split(",", 0)) {
                if (isSound(name) && !parsedSettings.requestClasses().contains(className)) {
                    fault(
                            name,
                            "there is no track " + className,
                            "write some of: " + String.join(", ", parsedSettings.requestClasses()),
                            true);
                }
                if (calls(className)) {
                    fault(
                            name,
                            "tickets of track "
                                    + className
                                    + " call, and servers that speak AJP can't tell of calls",
                            "write calls #false in track " + className,
                            true);
                }
            }
        }
    }

    private void fleet() {
        List<String> voters = parsedSettings.items(Schema.VOTER);
        String said =
                parsedSettings.values().keySet().stream()
                        .filter(name -> name.startsWith("fleet "))
                        .findFirst()
                        .orElse(null);
        if (voters.isEmpty()) {
            if (said != null) {
                fault(
                        said,
                        "no voter is named, so there is no fleet",
                        "add voter NAME { address \"...\" }, three or five",
                        true);
            }
            return;
        }
        if (voters.size() != 3 && voters.size() != 5) {
            fault(
                    "voter " + voters.get(0),
                    "a council of "
                            + voters.size()
                            + " voters"
                            + (voters.size() % 2 == 0
                                    ? " outlives no more of them than one less would"
                                    : " is none that is meant"),
                    "name three or five voters",
                    true);
        }
        twice(Schema.VOTER, voters, true);
        Map<String, String> first = new HashMap<>();
        for (String voter : voters) {
            String name = "voter " + voter + " address";
            String other =
                    isSound(name) ? first.putIfAbsent(parsedSettings.value(name), voter) : null;
            if (other != null) {
                fault(
                        name,
                        "voter " + voter + " has the address of " + other,
                        "give each its own address",
                        true);
            }
        }
        if (voters.contains(parsedSettings.value("name"))
                && parsedSettings.value("fleet folder") == null) {
            fault(
                    "fleet folder",
                    "a voter without a folder would forget its votes",
                    "add folder: a path on a disk" + " that outlives the process",
                    true);
        }
    }
}
