import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;

/** Waits until the node answers a health check with GREEN. */
final class Ready {
    private Ready() {}

    static boolean await(Kit kit, Kit.Node node, int port) {
        long end = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < end && node.isAlive()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream()
                        .write(Kit.array(Kit.bytes("HEALTH"), Kit.bytes("1")));
                List<byte[]> words = Kit.array(new BufferedInputStream(socket.getInputStream()));
                if (words != null && new String(words.get(1)).equals("GREEN")) {
                    kit.note("the node is ready");
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Kit.sleep(100);
        }
        kit.say("the node did not become ready");
        return false;
    }
}
