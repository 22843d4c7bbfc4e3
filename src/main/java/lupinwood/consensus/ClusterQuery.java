package lupinwood.consensus;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import lupinwood.log.Log;

/** Queries the voters, and sends them operator orders, on behalf of a command-line command. */
public final class ClusterQuery {
    private static final long RESEND_INTERVAL_MILLIS = 500;

    /**
     * What a node should start with.
     *
     * @param digest the digest of the shared configuration
     * @param text the text of the shared configuration
     * @param program the program version
     * @param cordons the cordoned servers
     */
    public record Wanted(String digest, String text, String program, List<String> cordons) {}

    private ClusterQuery() {}

    private static List<String> cordons(JsonObject message) {
        List<String> cordons = new ArrayList<>();
        message.getAsJsonArray("rests").forEach(server -> cordons.add(server.getAsString()));
        return cordons;
    }

    /** The leader's state; null if no leader answered in time. */
    public static RaftReplica.ReplicaView state(
            Collection<InetSocketAddress> voters, NanoDuration timeout, Log log)
            throws InterruptedException {
        return state(voters, timeout, log, false);
    }

    /**
     * The leader's state; null if no leader answered in time.
     *
     * @param withPlans whether to include the members, the capacity plans that some node may still
     *     use, and what nodes run at each location
     */
    public static RaftReplica.ReplicaView state(
            Collection<InetSocketAddress> voters, NanoDuration timeout, Log log, boolean withPlans)
            throws InterruptedException {
        return ask(voters, timeout, log, withPlans).values().stream()
                .filter(message -> message.get("leads").getAsBoolean())
                .map(
                        message ->
                                ClusterJson.read(
                                        message.get("state"), RaftReplica.ReplicaView.class))
                .findFirst()
                .orElse(null);
    }

    /** What the node should start with; null if no leader answered in time. */
    public static Wanted wanted(
            Collection<InetSocketAddress> voters, NodeName node, NanoDuration timeout, Log log)
            throws InterruptedException {
        BlockingQueue<Wanted> answers = new ArrayBlockingQueue<>(64);
        RaftTransport transport =
                new RaftTransport(
                        (from, message) -> {
                            if (message.get("k").getAsString().equals("wanted")
                                    && message.get("leads").getAsBoolean()) {
                                answers.offer(
                                        new Wanted(
                                                message.get("digest").getAsString(),
                                                message.get("text").getAsString(),
                                                message.get("program").getAsString(),
                                                cordons(message)));
                            }
                        },
                        log);
        try {
            JsonObject message = new JsonObject();
            message.addProperty("k", "wanted?");
            message.addProperty("name", node.text());
            long deadlineNanos = System.nanoTime() + timeout.nanos();
            Wanted wanted = null;
            while (wanted == null && System.nanoTime() < deadlineNanos) {
                voters.forEach(voter -> transport.send(voter, message));
                wanted =
                        answers.poll(
                                Math.min(RESEND_INTERVAL_MILLIS, timeout.nanos() / 3_000_000),
                                TimeUnit.MILLISECONDS);
            }
            return wanted;
        } finally {
            transport.close();
        }
    }

    /**
     * The answers that arrived in time, keyed by the voter's position in the collection. The map
     * iterates in the order of arrival. Returns early once the leader or all voters have answered.
     */
    public static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, NanoDuration timeout, Log log)
            throws InterruptedException {
        return ask(voters, timeout, log, false);
    }

    private static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, NanoDuration timeout, Log log, boolean withPlans)
            throws InterruptedException {
        Map<Integer, JsonObject> answers = new LinkedHashMap<>();
        CountDownLatch answered = new CountDownLatch(1);
        RaftTransport transport =
                new RaftTransport(
                        (from, message) -> {
                            synchronized (answers) {
                                if (message.get("k").getAsString().equals("told")) {
                                    answers.put(message.get("number").getAsInt(), message);
                                    if (message.get("leads").getAsBoolean()
                                            || answers.size() == voters.size()) {
                                        answered.countDown();
                                    }
                                }
                            }
                        },
                        log);
        try {
            int number = 0;
            for (InetSocketAddress voter : voters) {
                JsonObject query = new JsonObject();
                query.addProperty("k", "ask");
                query.addProperty("number", number++);
                if (withPlans) {
                    query.addProperty("plans", true);
                }
                transport.send(voter, query);
            }
            answered.await(timeout.nanos(), TimeUnit.NANOSECONDS);
        } finally {
            transport.close();
        }
        synchronized (answers) {
            return new LinkedHashMap<>(answers);
        }
    }

    /**
     * Has the leader execute an operator order. The order is sent repeatedly until a leader
     * answers; the leader executes an order once by its id, except for a forget order, which it
     * executes each time.
     *
     * @return null if no leader answered in time
     */
    public static RaftReplica.OrderResult order(
            Collection<InetSocketAddress> voters,
            RaftReplica.OperatorOrder order,
            NanoDuration timeout,
            Log log)
            throws InterruptedException {
        BlockingQueue<RaftReplica.OrderResult> answers = new ArrayBlockingQueue<>(64);
        RaftTransport transport =
                new RaftTransport(
                        (from, message) -> {
                            if (message.get("k").getAsString().equals("done")
                                    && message.get("leads").getAsBoolean()) {
                                answers.offer(
                                        ClusterJson.read(
                                                message.get("a"), RaftReplica.OrderResult.class));
                            }
                        },
                        log);
        try {
            JsonObject message = new JsonObject();
            message.addProperty("k", "order");
            message.add("o", ClusterJson.toTree(order));
            long deadlineNanos = System.nanoTime() + timeout.nanos();
            RaftReplica.OrderResult answer = null;
            while (answer == null && System.nanoTime() < deadlineNanos) {
                voters.forEach(voter -> transport.send(voter, message));
                answer = answers.poll(RESEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            return answer;
        } finally {
            transport.close();
        }
    }
}
