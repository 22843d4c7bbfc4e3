import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A dispatcher at a calm pace, and beside it one bad client that has hundreds of keyed requests
 * withdrawn at once, again and again. The node must stay up and answer the dispatcher.
 */
final class Withdrawn {
    private static final int CONNECTIONS = 10;
    private static final int AT_ONCE = 32;
    /** Between two bursts of a connection; the pages say full speed, this is slower. */
    private static final long PAUSE_MS = 20;

    private static final long TROUBLE_MS = 30_000;

    private Withdrawn() {}

    public static void main(String[] words) throws Exception {
        int exit = Kit.COULD_NOT_RUN;
        try (Kit kit = new Kit(words)) {
            exit = play(kit);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int play(Kit kit) throws Exception {
        Work work =
                new Work(
                        kit,
                        Map.of("fare-quote", 60L, "trip-history", 100L, "unlock", 60L),
                        Map.of("fare-quote", true, "unlock", true));
        ServerSocket index = Kit.index(10);
        ServerSocket registry = Kit.registry();
        int listen = Kit.freePort();
        Kit.Node node =
                kit.node(
                        "n1",
                        Kit.json(
                                "n1", listen, work.port(), index.getLocalPort(),
                                registry.getLocalPort(), 3200, Kit.rueda(), Map.of()),
                        "");
        Map<String, Dispatcher.Try> tries = new ConcurrentHashMap<>();
        if (!Ready.await(kit, node, listen)) {
            return Kit.COULD_NOT_RUN;
        }
        AtomicLong withdrawn = new AtomicLong();
        boolean[] over = {false};
        if (kit.trouble) {
            for (int i = 0; i < CONNECTIONS; i++) {
                Kit.daemon(() -> withdraw(listen, withdrawn, over));
            }
        }
        long end = System.currentTimeMillis() + TROUBLE_MS;
        Random random = new Random(1);
        Dispatcher dispatcher = null;
        List<Dispatcher> used = new ArrayList<>();
        String[] tenants = {"montevideo", "canelones", "maldonado", "salto"};
        String[] classes = {"fare-quote", "trip-history", "unlock"};
        while (System.currentTimeMillis() < end && node.isAlive()) {
            try {
                if (dispatcher == null || dispatcher.finished || dispatcher.ended) {
                    dispatcher = new Dispatcher(kit, work, listen, tries);
                    used.add(dispatcher);
                }
                String className = classes[random.nextInt(3)];
                dispatcher.send(
                        className,
                        tenants[random.nextInt(4)],
                        Kit.bytes("body " + random.nextInt(1000)),
                        className.equals("unlock")
                                ? String.format("%016x%016x", random.nextLong(), random.nextLong())
                                : null);
            } catch (IOException e) {
                kit.note("the dispatcher's connection: " + e);
                dispatcher = null;
            }
            Kit.sleep(50);
        }
        over[0] = true;
        boolean alive = node.isAlive();
        kit.say("withdrawn by the bad client: " + withdrawn.get());
        if (alive) {
            long last = System.currentTimeMillis() + 10_000;
            while (System.currentTimeMillis() < last
                    && tries.values().stream().anyMatch(one -> one.word == null)) {
                Kit.sleep(50);
            }
            alive = node.isAlive();
        }
        long unanswered = tries.values().stream().filter(one -> one.word == null).count();
        long answered = tries.size() - unanswered;
        kit.say("the dispatcher sent " + tries.size() + ", answered " + answered);
        node.noteLog(8);
        if (!alive) {
            kit.say(
                    "BROKEN: the node ended by itself, exit " + node.process.waitFor()
                            + ", with " + unanswered + " requests of the dispatcher unanswered");
            return Kit.BROKEN;
        }
        kit.say("held: the node is up");
        return Kit.HELD;
    }

    /** One of the bad client's connections: requests at once, all withdrawn at once, and again. */
    private static void withdraw(int port, AtomicLong withdrawn, boolean[] over) {
        byte[] body = new byte[2048];
        while (!over[0]) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                boolean[] ended = {false};
                Kit.daemon(
                        () -> {
                            try {
                                byte[] read = new byte[8192];
                                while (in.read(read) >= 0) {
                                    // It reads whatever it is sent.
                                }
                            } catch (IOException e) {
                                // The connection ended.
                            }
                            ended[0] = true;
                        });
                long tag = 0;
                while (!over[0] && !ended[0]) {
                    ByteArrayOutputStream burst = new ByteArrayOutputStream();
                    long first = tag + 1;
                    for (int i = 0; i < AT_ONCE; i++) {
                        ThreadLocalRandom chance = ThreadLocalRandom.current();
                        chance.nextBytes(body);
                        String fields =
                                String.format(
                                        "req=%016x,ts=%d,via=9,owner=salto,need=24.5,level=0.5,opkey=%016x%016x",
                                        chance.nextLong(),
                                        System.currentTimeMillis(),
                                        chance.nextLong(),
                                        chance.nextLong());
                        burst.writeBytes(
                                Kit.array(
                                        Kit.bytes("REQ"),
                                        Kit.bytes(Long.toString(++tag)),
                                        Kit.bytes("unlock"),
                                        Kit.bytes(fields),
                                        body));
                    }
                    for (long one = first; one <= tag; one++) {
                        burst.writeBytes(
                                Kit.array(Kit.bytes("ABORT"), Kit.bytes(Long.toString(one))));
                    }
                    socket.getOutputStream().write(burst.toByteArray());
                    withdrawn.addAndGet(AT_ONCE);
                    Kit.sleep(PAUSE_MS);
                }
            } catch (IOException e) {
                Kit.sleep(20);
            }
        }
    }
}
