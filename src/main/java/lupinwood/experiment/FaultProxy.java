package lupinwood.experiment;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A link from one process to a loopback port, which can be cut, swallow what is said in one
 * direction or both, and be slow. A cut ends what is open and refuses what comes; what is swallowed
 * is read and lost, as by a broken net.
 */
final class FaultProxy implements Closeable {
    private static final int CONNECT_MILLIS = 1000;

    private final LoopbackServer proxy;
    private final int to;
    private volatile boolean cut;
    private volatile boolean swallowsThere;
    private volatile boolean swallowsBack;
    private volatile int delayMillis;
    private volatile int backMillis;

    FaultProxy(int to) throws IOException {
        this.to = to;
        proxy = new LoopbackServer(0, this::lead);
    }

    int port() {
        return proxy.port();
    }

    String address() {
        return proxy.address();
    }

    void cut() {
        cut = true;
        proxy.cut();
    }

    /** What is said there, back, or both is lost from now on; connections stand. */
    void swallow(boolean there, boolean back) {
        swallowsThere = there;
        swallowsBack = back;
    }

    void delay(int millis) {
        delayMillis = millis;
    }

    /** What is said back alone is late. */
    void delayBack(int millis) {
        backMillis = millis;
    }

    /** As new. A connection on which something was swallowed is spoilt, and ends. */
    void mend() {
        boolean corrupted = swallowsThere || swallowsBack;
        cut = false;
        swallow(false, false);
        delayMillis = 0;
        backMillis = 0;
        if (corrupted) {
            proxy.cut();
        }
    }

    private void lead(InputStream in, OutputStream out) throws IOException {
        if (cut) {
            return;
        }
        try (Socket there = new Socket()) {
            there.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), to), CONNECT_MILLIS);
            there.setTcpNoDelay(true);
            LoopbackServer.daemon(
                    () -> {
                        try (there) {
                            carry(there.getInputStream(), out, false);
                            out.close();
                        } catch (IOException e) {
                            // One side went; the other direction ends with it.
                        }
                    });
            carry(in, there.getOutputStream(), true);
        }
    }

    private void carry(InputStream from, OutputStream to, boolean there) throws IOException {
        byte[] buffer = new byte[8192];
        for (int read = from.read(buffer); read >= 0; read = from.read(buffer)) {
            if (cut) {
                return;
            }
            if (there ? swallowsThere : swallowsBack) {
                continue;
            }
            int late = delayMillis + (there ? 0 : backMillis);
            if (late > 0) {
                try {
                    Thread.sleep(late);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            to.write(buffer, 0, read);
            to.flush();
        }
    }

    @Override
    public void close() throws IOException {
        proxy.close();
    }
}
