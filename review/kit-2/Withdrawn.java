import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A dispatcher at a calm pace, and beside it one bad client that has hundreds of requests withdrawn at
 * once, again and again. The node must stay up and answer the dispatcher.
 *
 * <p>Use: ROOT CASE-FOLDER SITE CLASS BODY CONNECTIONS PAUSE. CLASS is what the bad client sends, with
 * so many bytes of a body, on so many connections and with so many milliseconds between its bursts.
 */
final class Withdrawn {
    private static final int AT_ONCE = 300;
    private static final long TROUBLE_MS = 40_000;

    private final Kit kit;
    private final Kit.Site site;
    private final Kit.Service withdrawn;
    private final byte[] body;
    private final int connections;
    private final long pauseMillis;
    private final AtomicLong count = new AtomicLong();
    private final AtomicBoolean over = new AtomicBoolean();

    private Withdrawn(Kit kit, String[] words) {
        this.kit = kit;
        site = words[2].equals("prairie-scans") ? Kit.prairieScans() : Kit.rueda();
        withdrawn = site.service(words[3]);
        body = new byte[Integer.parseInt(words[4])];
        connections = Integer.parseInt(words[5]);
        pauseMillis = Long.parseLong(words[6]);
    }

    public static void main(String[] words) throws Exception {
        int exit = Kit.COULD_NOT_RUN;
        try (Kit kit = new Kit(words)) {
            exit = new Withdrawn(kit, words).play();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private int play() throws Exception {
        Map<String, Long> workMillis = new HashMap<>();
        Map<String, Boolean> calls = new HashMap<>();
        for (Kit.Service one : site.services()) {
            workMillis.put(one.name(), one.calls() ? 60L : 100L);
            calls.put(one.name(), one.calls());
        }
        Work work = new Work(kit, workMillis, calls);
        ServerSocket index = Kit.index(10);
        ServerSocket registry = Kit.registry();
        int listen = Kit.freePort();
        Kit.Node node =
                kit.node(
                        "n1",
                        Kit.json(
                                "n1", listen, work.port(), index.getLocalPort(),
                                registry.getLocalPort(), 3200, site),
                        "");
        if (!Ready.await(kit, node, listen)) {
            node.noteLog(20);
            return Kit.COULD_NOT_RUN;
        }
        if (kit.trouble) {
            for (int i = 0; i < connections; i++) {
                Kit.daemon(() -> withdraw(listen));
            }
        }
        Map<String, Dispatcher.Try> tries = new ConcurrentHashMap<>();
        dispatch(node, work, listen, tries);
        over.set(true);
        kit.say("withdrawn by the bad client: " + count.get());
        long last = System.currentTimeMillis() + 15_000;
        while (System.currentTimeMillis() < last
                && node.isAlive()
                && tries.values().stream().anyMatch(one -> one.word == null)) {
            Kit.sleep(50);
        }
        long unanswered = tries.values().stream().filter(one -> one.word == null).count();
        kit.say("the dispatcher sent " + tries.size() + ", answered " + (tries.size() - unanswered));
        node.noteLog(8);
        if (!node.isAlive()) {
            kit.say(
                    "BROKEN: the node ended by itself, exit " + node.process.waitFor()
                            + ", with " + unanswered + " requests of the dispatcher unanswered");
            return Kit.BROKEN;
        }
        kit.say("held: the node is up");
        return Kit.HELD;
    }

    /** Twenty requests a second of all classes. */
    private void dispatch(Kit.Node node, Work work, int listen, Map<String, Dispatcher.Try> tries) {
        Random random = new Random(1);
        List<String> tenants = new ArrayList<>(site.tenants().keySet());
        Dispatcher dispatcher = null;
        long end = System.currentTimeMillis() + TROUBLE_MS;
        while (System.currentTimeMillis() < end && node.isAlive()) {
            Kit.Service one = site.services().get(random.nextInt(site.services().size()));
            try {
                if (dispatcher == null || !dispatcher.takesMore()) {
                    dispatcher = new Dispatcher(kit, work, listen, tries);
                }
                dispatcher.send(
                        one.name(),
                        tenants.get(random.nextInt(tenants.size())),
                        Kit.bytes("body " + random.nextInt(1000)),
                        one.effect().equals("token") ? hex(random) + hex(random) : null);
            } catch (IOException e) {
                kit.note("the dispatcher's connection: " + e);
                dispatcher = null;
            }
            Kit.sleep(50);
        }
    }

    private static String hex(Random chance) {
        return String.format("%016x", chance.nextLong());
    }

    /** One of the bad client's connections: requests at once, each withdrawn right away, and again. */
    private void withdraw(int port) {
        ThreadLocalRandom chance = ThreadLocalRandom.current();
        String tenant = site.tenants().keySet().iterator().next();
        while (!over.get()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                AtomicBoolean ended = new AtomicBoolean();
                InputStream in = socket.getInputStream();
                Kit.daemon(() -> readAll(in, ended));
                long tag = 0;
                while (!over.get() && !ended.get()) {
                    ByteArrayOutputStream burst = new ByteArrayOutputStream();
                    for (int i = 0; i < AT_ONCE; i++) {
                        chance.nextBytes(body);
                        byte[] name = Kit.bytes(Long.toString(++tag));
                        String fields =
                                "req=" + Long.toHexString(chance.nextLong() | Long.MIN_VALUE)
                                        + ",ts=" + System.currentTimeMillis()
                                        + ",via=9,owner=" + tenant + ",need=12.5,level=0.5"
                                        + (withdrawn.effect().equals("token")
                                                ? ",opkey=" + hex(chance) + hex(chance)
                                                : "");
                        burst.writeBytes(
                                Kit.array(
                                        Kit.bytes("REQ"),
                                        name,
                                        Kit.bytes(withdrawn.name()),
                                        Kit.bytes(fields),
                                        body));
                        burst.writeBytes(Kit.array(Kit.bytes("ABORT"), name));
                    }
                    socket.getOutputStream().write(burst.toByteArray());
                    count.addAndGet(AT_ONCE);
                    Kit.sleep(pauseMillis);
                }
            } catch (IOException e) {
                Kit.sleep(20);
            }
        }
    }

    /** It reads whatever it is sent. */
    private static void readAll(InputStream in, AtomicBoolean ended) {
        try {
            byte[] read = new byte[8192];
            while (in.read(read) >= 0) {
                // It means nothing to this client.
            }
        } catch (IOException e) {
            // The connection ended.
        }
        ended.set(true);
    }
}
