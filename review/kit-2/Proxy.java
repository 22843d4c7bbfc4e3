import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A network between a dispatcher and the node: all bytes arrive so many microseconds later. */
final class Proxy {
    private record Chunk(long at, byte[] bytes) {}

    private Proxy() {}

    static ServerSocket to(int port, long delayMicros) throws IOException {
        return Kit.listen(
                (near, in, out) -> {
                    Socket far = new Socket(InetAddress.getLoopbackAddress(), port);
                    far.setTcpNoDelay(true);
                    Thread back =
                            new Thread(
                                    () -> {
                                        try {
                                            pass(far.getInputStream(), near, delayMicros);
                                        } catch (IOException e) {
                                            // It ended.
                                        }
                                    });
                    back.setDaemon(true);
                    back.start();
                    pass(near.getInputStream(), far, delayMicros);
                    try {
                        back.join();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    far.close();
                });
    }

    /** Returns once the one side has ended its output and all of it was written to the other. */
    private static void pass(InputStream in, Socket to, long delayMicros) throws IOException {
        BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>();
        Kit.daemon(
                () -> {
                    byte[] buffer = new byte[16384];
                    try {
                        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                            queue.add(
                                    new Chunk(
                                            System.nanoTime() + delayMicros * 1000,
                                            java.util.Arrays.copyOf(buffer, n)));
                        }
                    } catch (IOException e) {
                        // It ended.
                    }
                    queue.add(new Chunk(System.nanoTime() + delayMicros * 1000, null));
                });
        OutputStream out = to.getOutputStream();
        try {
            while (true) {
                Chunk chunk = queue.take();
                long wait = chunk.at() - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                }
                if (chunk.bytes() == null) {
                    to.shutdownOutput();
                    return;
                }
                out.write(chunk.bytes());
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
