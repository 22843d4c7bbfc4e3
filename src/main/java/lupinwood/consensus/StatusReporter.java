package lupinwood.consensus;

import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lupinwood.cluster.FencingToken;
import lupinwood.log.Log;

/**
 * The status reporter's act outside: the fleet's picture, put by HTTP with the token. Whoever takes
 * it refuses a lower token than it has seen by 409 or 412; then, or when it fails a few times in a
 * row, this node can't do the duty.
 */
final class StatusReporter {
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int FAILURES = 3;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION = 412;

    private final InetSocketAddress to;
    private final Log log;
    private final ThreadPoolExecutor thread =
            new ThreadPoolExecutor(
                    1,
                    1,
                    10,
                    TimeUnit.SECONDS,
                    new ArrayBlockingQueue<>(1),
                    job -> {
                        Thread one = new Thread(job, "keeper");
                        one.setDaemon(true);
                        return one;
                    });
    private int failures;

    StatusReporter(InetSocketAddress to, Log log) {
        this.to = to;
        this.log = log;
        thread.allowCoreThreadTimeOut(true);
    }

    /**
     * Tells it by and by; false where the one before is still on its way.
     *
     * @param may asked once more right before the act, on another thread than the fleet's
     */
    boolean tell(FencingToken token, String picture, BooleanSupplier may, Consumer<String> fails) {
        try {
            thread.execute(() -> put(token, picture, may, fails));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void put(
            FencingToken token, String picture, BooleanSupplier may, Consumer<String> fails) {
        if (!may.getAsBoolean()) {
            return;
        }
        try {
            int status = status(token, picture.getBytes(StandardCharsets.UTF_8));
            if (status == CONFLICT || status == PRECONDITION) {
                failures = 0;
                fails.accept("the token " + token + " is lower than one seen there");
            } else if (status / 100 == 2) {
                failures = 0;
            } else {
                failed("status " + status, fails);
            }
        } catch (IOException e) {
            failed(e.getClass().getSimpleName(), fails);
        }
    }

    private void failed(String why, Consumer<String> fails) {
        if (++failures >= FAILURES) {
            failures = 0;
            fails.accept(why);
        } else {
            log.line("fleet: the picture was not taken: " + why);
        }
    }

    private int status(FencingToken token, byte[] picture) throws IOException {
        HttpURLConnection put =
                (HttpURLConnection)
                        URI.create("http://" + to.getHostString() + ":" + to.getPort() + "/fleet")
                                .toURL()
                                .openConnection();
        try {
            put.setRequestMethod("PUT");
            put.setConnectTimeout(TIMEOUT_MILLIS);
            put.setReadTimeout(TIMEOUT_MILLIS);
            put.setDoOutput(true);
            put.setRequestProperty("Duty-Token", token.toString());
            put.setRequestProperty("Content-Type", "application/json");
            put.setFixedLengthStreamingMode(picture.length);
            try (OutputStream out = put.getOutputStream()) {
                out.write(picture);
            }
            return put.getResponseCode();
        } finally {
            put.disconnect();
        }
    }
}
