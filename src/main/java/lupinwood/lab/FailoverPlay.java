package lupinwood.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import lupinwood.failover.Place;
import lupinwood.failover.Planner;
import lupinwood.fleet.Allotment;
import lupinwood.fleet.Beat;
import lupinwood.fleet.Book;
import lupinwood.fleet.Condition;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Life;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Reply;
import lupinwood.fleet.Report;
import lupinwood.fleet.Rules;
import lupinwood.fleet.Site;
import lupinwood.fleet.Steward;
import lupinwood.fleet.Tally;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.pools.Budget;
import lupinwood.pools.Pool;

/**
 * Zones with their nodes and places in made-up time: places die, come back cold, answer errors, and
 * break when they are sent more than they can bear. Nodes choose as they are told to: near only,
 * each for itself, evenly, by the agreed plan, or by a planner that knows the truth. The plan is
 * made by the real book, steward and planner, over words that are late or lost.
 */
final class FailoverPlay {
    /** How nodes choose. */
    enum Way {
        NEAR_ONLY,
        EACH_FOR_ITSELF,
        EVENLY,
        PLANNED,
        TRUTH
    }

    /** What it came to. */
    record Played(
            double inTime,
            double near,
            int broke,
            double mostOver,
            int plans,
            double planBytes,
            List<String> broken) {}

    static final int REGIONS = 3;
    static final int ZONES = 6;
    static final double SECONDS = 130;
    static final Span LEASE = Span.ofSeconds(1.5);
    private static final int SLOTS_A_NODE = 8;
    private static final double SERVICE = 0.15;
    private static final double ON_TIME = 1;
    private static final double ABANDON = 2;
    private static final double BREAKS_AT = 1.3;
    private static final double DOWN_WHEN_BROKEN = 6;
    private static final double COLD_FOR = 8;
    private static final double COLD_SPEED = 0.5;
    private static final double[] WAY_THERE = {0.001, 0.008, 0.04};
    private static final int MOST_WAITING = 64;
    private static final double LOSS = 0.02;
    private static final DutyName DUTY = DutyName.PLANNER;

    private final class Server {
        final Place place;
        final int index;
        int inHand;

        /** What nodes have out there, also on the way. */
        int sent;

        int most;
        boolean up = true;
        boolean errors;
        double coldUntil;
        int broke;
        int life;

        Server(Place place, int index) {
            this.place = place;
            this.index = index;
        }

        void dies(double seconds) {
            up = false;
            life++;
            inHand = 0;
            time.after(
                    seconds,
                    () -> {
                        up = true;
                        coldUntil = now() + COLD_FOR;
                    });
        }

        double takes() {
            double speed = now() < coldUntil ? COLD_SPEED : 1;
            // Past what it bears each gets its part only.
            return SERVICE
                    / speed
                    * Math.max(1, (double) inHand / place.bears())
                    * (0.7 + 0.6 * random.nextDouble());
        }
    }

    private final class Ticket {
        final double came = now();
        final List<Integer> tried = new ArrayList<>();
        boolean over;
    }

    private final class Node {
        final NodeName name;
        final Site site;
        final int zone;
        final Pool pool;
        final Budget budget = new Budget(0.1, 10);
        final Deque<Ticket> waiting = new ArrayDeque<>();
        long asked;
        final double[] seconds = new double[ZONES];
        final long[][] ended = new long[ZONES][2];
        final Allotment share;
        final Map<Long, Moment> askedAt = new TreeMap<>();
        long number;
        boolean cut;
        int turn;

        Node(int place, int zone) {
            this.zone = zone;
            name = new NodeName(String.format("n%03d", place));
            site = site(zone);
            pool =
                    new Pool(
                            servers.stream().map(one -> one.place.name()).toList(),
                            lupinwood.pools.Rules.USUAL,
                            random.nextLong());
            Map<String, Integer> alone = new TreeMap<>();
            servers.forEach(one -> alone.put(one.place.name(), one.place.alone(site)));
            share = new Allotment(alone);
        }

        void comes() {
            offered++;
            asked++;
            Ticket ticket = new Ticket();
            budget.first();
            time.after(
                    ABANDON,
                    () -> {
                        if (!ticket.over) {
                            ticket.over = true;
                            waiting.remove(ticket);
                        }
                    });
            send(ticket);
            time.after(-Math.log(1 - random.nextDouble()) / rate, this::comes);
        }

        private void send(Ticket ticket) {
            if (now() - ticket.came > ON_TIME - 2 * SERVICE) {
                ticket.over = true; // it would wait in vain, and is bounced
                return;
            }
            int server = choose(ticket);
            if (server < 0) {
                if (waiting.size() < MOST_WAITING) {
                    waiting.add(ticket);
                } else {
                    ticket.over = true; // bounced at once
                }
                return;
            }
            ticket.tried.add(server);
            carry(ticket, servers.get(server));
        }

        private int choose(Ticket ticket) {
            Moment at = moment();
            if (way == Way.EACH_FOR_ITSELF) {
                return pool.send(at, ticket.tried);
            }
            if (way == Way.NEAR_ONLY) {
                return pool.send(at, ticket.tried, server -> server == zone);
            }
            if (way == Way.EVENLY) {
                int one = turn++ % ZONES;
                int chosen = pool.send(at, ticket.tried, server -> server == one);
                return chosen >= 0 ? chosen : pool.send(at, ticket.tried);
            }
            for (int distance = 0; distance <= 2; distance++) {
                int of = distance;
                int chosen =
                        pool.send(
                                at,
                                ticket.tried,
                                server -> distance(zone, server) == of && may(server));
                if (chosen >= 0) {
                    return chosen;
                }
            }
            return -1;
        }

        private boolean may(int server) {
            Server one = servers.get(server);
            return way == Way.TRUTH
                    ? one.up && !one.errors && one.sent < one.place.bears()
                    : pool.out(server) < share.may(one.place.name(), moment());
        }

        private void carry(Ticket ticket, Server server) {
            double there = WAY_THERE[distance(zone, server.index)];
            double sentAt = now();
            if (zone == server.index) {
                wentNear++;
            }
            went++;
            server.sent++;
            time.after(
                    there,
                    () -> {
                        if (!server.up || server.errors) {
                            time.after(
                                    there,
                                    () -> ended(ticket, server.index, Pool.End.FAILED, sentAt));
                            return;
                        }
                        server.inHand++;
                        server.most = Math.max(server.most, server.inHand);
                        int of = server.life;
                        if (way == Way.PLANNED && server.inHand > server.place.bears()) {
                            breaks(
                                    server.place.name()
                                            + " has "
                                            + server.inHand
                                            + " tickets at "
                                            + now()
                                            + " s, and bears "
                                            + server.place.bears());
                        }
                        if (server.inHand > server.place.bears() * BREAKS_AT) {
                            server.broke++;
                            server.dies(DOWN_WHEN_BROKEN);
                        }
                        time.after(
                                server.takes(),
                                () -> {
                                    boolean same = server.life == of;
                                    server.inHand -= same ? 1 : 0;
                                    time.after(
                                            there,
                                            () ->
                                                    ended(
                                                            ticket,
                                                            server.index,
                                                            same ? Pool.End.WELL : Pool.End.FAILED,
                                                            sentAt));
                                });
                    });
        }

        private void ended(Ticket ticket, int server, Pool.End end, double sentAt) {
            servers.get(server).sent--;
            pool.ended(server, end, Span.ofSeconds(now() - sentAt), false, moment());
            ended[server][0]++;
            seconds[server] += end == Pool.End.WELL ? now() - sentAt : 0;
            ended[server][1] += end == Pool.End.FAILED ? 1 : 0;
            if (!ticket.over && end == Pool.End.WELL) {
                ticket.over = true;
                inTime += now() - ticket.came <= ON_TIME ? 1 : 0;
            } else if (!ticket.over && ticket.tried.size() < 3 && budget.again()) {
                send(ticket);
            } else {
                ticket.over = true;
            }
            for (int left = waiting.size(); left > 0; left--) {
                send(waiting.poll());
            }
        }

        private void beats() {
            number++;
            askedAt.put(number, moment());
            askedAt.keySet().removeIf(old -> old < number - 20);
            List<Report.Use> uses = new ArrayList<>();
            for (Server server : servers) {
                uses.add(
                        new Report.Use(
                                server.place.name(),
                                pool.out(server.index),
                                asked,
                                ended[server.index][0],
                                ended[server.index][1],
                                seconds[server.index],
                                pool.isLeftOut(server.index)));
            }
            Beat beat =
                    new Beat(
                            Beat.VERSION,
                            name,
                            new Life(zone + 1),
                            site,
                            Condition.WARM,
                            number,
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            List.of(),
                            new Report(
                                    "1", "", null, List.of(), share.plan(), uses, Tally.NOTHING));
            talk(
                    () -> {
                        String trouble = steward.heard(beat, book, moment());
                        Reply reply = steward.replyTo(beat, trouble, book, name, moment());
                        talk(() -> hears(reply));
                    });
            time.after(rules.beat().seconds() * (0.8 + 0.4 * random.nextDouble()), this::beats);
        }

        private void hears(Reply reply) {
            Moment asked = askedAt.get(reply.number());
            if (asked != null && reply.share() != null) {
                share.told(
                        reply.share().plan(), reply.share().slots(), asked.plus(rules.heldFor()));
                for (int left = waiting.size(); left > 0; left--) {
                    send(waiting.poll());
                }
            }
        }

        private void talk(Runnable job) {
            if (!cut && random.nextDouble() >= LOSS) {
                time.after(0.002 + 0.03 * random.nextDouble(), job);
            }
        }
    }

    private final Way way;
    private final Random random;
    private final MadeUpTime time = new MadeUpTime();
    private final Rules rules = Rules.of(LEASE, 0.01);
    private final Book book = new Book(4096);
    private final Steward steward = new Steward(rules, List.of(DUTY));
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final double rate;
    private Planner planner;
    private long offered;
    private long inTime;
    private long went;
    private long wentNear;
    private int plans;

    /** Hears of each plan. */
    Consumer<String> trace = text -> {};

    private double planBytes;

    /**
     * @param load of what all places can do together, how much is asked for
     */
    FailoverPlay(Way way, int count, double load, long seed) {
        this.way = way;
        random = new Random(seed);
        int aZone = count / ZONES;
        rate = load * SLOTS_A_NODE / SERVICE;
        for (int zone = 0; zone < ZONES; zone++) {
            servers.add(
                    new Server(
                            new Place(
                                    "p" + zone,
                                    site(zone),
                                    SLOTS_A_NODE * aZone,
                                    SLOTS_A_NODE / 2,
                                    0,
                                    false),
                            zone));
        }
        for (int i = 0; i < aZone * ZONES; i++) {
            nodes.add(new Node(i, i % ZONES));
        }
        planner = new Planner(LEASE);
    }

    private static Site site(int zone) {
        return new Site("r" + zone / 2, "z" + zone);
    }

    private static int distance(int zone, int server) {
        return zone == server ? 0 : zone / 2 == server / 2 ? 1 : 2;
    }

    private double now() {
        return time.now() / 1e9;
    }

    private Moment moment() {
        return new Moment(time.now());
    }

    private void breaks(String what) {
        if (broken.size() < 5) {
            broken.add(what);
        }
    }

    Played play() {
        book.apply(new Deed.Found(1));
        steward.leads(book, moment());
        for (Node node : nodes) {
            time.after(random.nextDouble() * 0.5, node::beats);
            time.after(6 + random.nextDouble() / rate, node::comes);
        }
        decides();
        time.after(20, () -> servers.get(0).dies(25));
        time.after(60, () -> servers.get(3).errors = true);
        time.after(75, () -> servers.get(3).errors = false);
        time.after(
                80,
                () ->
                        nodes.stream()
                                .filter(node -> node.zone == 4)
                                .forEach(node -> node.cut = true));
        time.after(92, () -> nodes.forEach(node -> node.cut = false));
        time.after(
                95,
                () -> {
                    servers.get(0).dies(12);
                    servers.get(1).dies(14);
                });
        time.playUntil(SECONDS);
        int broke = servers.stream().mapToInt(server -> server.broke).sum();
        double over =
                servers.stream()
                        .mapToDouble(server -> (double) server.most / server.place.bears())
                        .max()
                        .orElse(0);
        return new Played(
                (double) inTime / offered,
                (double) wentNear / went,
                broke,
                over,
                plans,
                planBytes / Math.max(1, plans),
                broken);
    }

    private void decides() {
        steward.decide(book, 1, moment()).forEach(book::apply);
        Book.Held held = book.duty(DUTY);
        if (way == Way.PLANNED && !held.isFree()) {
            Deed.SetPlan plan =
                    planner.decide(
                            new Planner.View(
                                    servers.stream().map(server -> server.place).toList(),
                                    book.members(),
                                    steward.picture(book, moment()),
                                    book.livePlans(),
                                    book.lastPlan()),
                            held.token(),
                            moment());
            if (plan != null && !book.apply(plan)) {
                breaks("a plan did not fit: " + plan);
            } else if (plan != null) {
                trace.accept(
                        String.format(
                                Locale.ROOT,
                                "%.1f plan %d: %s",
                                now(),
                                book.lastPlan(),
                                plan.why()));
                plans++;
                planBytes += plan.toString().length();
            }
        }
        time.after(0.1, this::decides);
    }
}
