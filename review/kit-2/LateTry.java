import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A dispatcher sends keyed requests and sends each again late in its window. In between a bad client
 * uses the key with another body and a time stamp that lies a little ahead. No keyed request may run twice within its window.
 */
final class LateTry {
    private static final int KEYS = 40;
    private static final long WINDOW_MS = 1200;
    private static final long LEAD_MS = 230;

    private LateTry() {}

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
        Kit.Site rueda = Kit.rueda();
        Kit.Site site =
                new Kit.Site(
                        List.of(
                                rueda.service("fare-quote"),
                                rueda.service("trip-history"),
                                new Kit.Service("unlock", "token", 1800, 4300, WINDOW_MS, true)),
                        rueda.tenants(),
                        rueda.domain(),
                        rueda.rules());
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
                                registry.getLocalPort(), 3200, site),
                        "");
        if (!Ready.await(kit, node, listen)) {
            node.noteLog(20);
            return Kit.COULD_NOT_RUN;
        }
        Map<String, Dispatcher.Try> tries = new ConcurrentHashMap<>();
        Dispatcher dispatcher = new Dispatcher(kit, work, listen, tries);
        List<Dispatcher.Try> first = new ArrayList<>();
        List<Dispatcher.Try> second = new ArrayList<>();
        ThreadLocalRandom chance = ThreadLocalRandom.current();
        for (int i = 0; i < KEYS; i++) {
            if (!dispatcher.takesMore()) {
                dispatcher = new Dispatcher(kit, work, listen, tries);
            }
            String key = String.format("%016x%016x", chance.nextLong(), chance.nextLong());
            byte[] body = Kit.bytes("dock " + i);
            Dispatcher.Try one = dispatcher.send("unlock", "montevideo", body, key);
            first.add(one);
            // The bad client comes some 150 ms before the end of the window, the second try 50 to 100 ms before.
            sleepUntil(one.sentAt + WINDOW_MS - 140 - chance.nextInt(20));
            if (kit.trouble) {
                badClient(kit, listen, key);
            }
            sleepUntil(one.sentAt + WINDOW_MS - 50 - chance.nextInt(50));
            if (!dispatcher.takesMore()) {
                dispatcher = new Dispatcher(kit, work, listen, tries);
            }
            second.add(dispatcher.send("unlock", "montevideo", body, key));
            Kit.sleep(200);
        }
        Kit.sleep(5000);
        int twice = 0;
        int within = 0;
        for (int i = 0; i < KEYS; i++) {
            Dispatcher.Try one = first.get(i);
            Dispatcher.Try again = second.get(i);
            // Written within the window, which counts from the time stamp of the try that ran.
            boolean inWindow = again.writtenAt <= one.sentAt + WINDOW_MS;
            within += inWindow ? 1 : 0;
            if (inWindow && one.request.runs > 0 && again.request.runs > 0) {
                twice++;
                kit.note(
                        "ran twice: key=" + one.request.key + ", the second try was written "
                                + (again.writtenAt - one.sentAt) + " ms after the first one's ts");
            }
        }
        kit.say("keys " + KEYS + ", second tries written within the window " + within + ", run twice " + twice);
        node.noteLog(6);
        if (within < KEYS / 2) {
            return Kit.COULD_NOT_RUN;
        }
        kit.say(twice > 0 ? "BROKEN: keyed requests ran twice within their window" : "held");
        return twice > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void sleepUntil(long at) {
        Kit.sleep(Math.max(0, at - System.currentTimeMillis()));
    }

    private static void badClient(Kit kit, int port, String key) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        String fields =
                "req=" + Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE)
                        + ",ts=" + (System.currentTimeMillis() + LEAD_MS)
                        + ",via=9,owner=salto,need=24.5,level=0.5,opkey=" + key;
        byte[] request =
                Kit.array(
                        Kit.bytes("REQ"), Kit.bytes("1"), Kit.bytes("unlock"), Kit.bytes(fields),
                        Kit.bytes("another body"));
        kit.note("bad    key=" + key + " with another body, ts " + LEAD_MS + " ms ahead");
        socket.getOutputStream().write(request);
        Kit.daemon(
                () -> {
                    try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
                        for (List<byte[]> words = Kit.array(in);
                                words != null;
                                words = Kit.array(in)) {
                            kit.note("bad    hears " + new String(words.get(1)));
                        }
                    } catch (IOException e) {
                        // The connection ended.
                    }
                });
    }
}
