package lupinwood.experiment;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback address where a stand-in talks to each who connects, on a thread of its own. */
final class LoopbackServer implements Closeable {
    /** What is said on one connection; it ends when this returns. */
    interface Conversation {
        void with(InputStream in, OutputStream out) throws IOException;
    }

    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /**
     * @param port 0 for any that is free
     */
    LoopbackServer(int port, Conversation talk) throws IOException {
        socket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        daemon(
                () -> {
                    while (!socket.isClosed()) {
                        try {
                            Socket one = socket.accept();
                            open.add(one);
                            daemon(() -> talk(one, talk));
                        } catch (IOException e) {
                            return; // the listener was closed
                        }
                    }
                });
    }

    private void talk(Socket one, Conversation talk) {
        try (one) {
            one.setTcpNoDelay(true);
            talk.with(new BufferedInputStream(one.getInputStream()), one.getOutputStream());
        } catch (IOException | NumberFormatException e) {
            // The other side went, or said what means nothing here; its connection ends, which it
            // sees.
        } finally {
            open.remove(one);
        }
    }

    static void daemon(Runnable job) {
        Thread thread = new Thread(job, "lab");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Ends what is open here; new ones may come. */
    void cut() {
        open.forEach(
                one -> {
                    try {
                        one.close();
                    } catch (IOException e) {
                        open.remove(one);
                    }
                });
    }

    @Override
    public void close() throws IOException {
        socket.close();
        cut();
    }
}
