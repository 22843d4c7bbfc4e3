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
 * Sends the cluster status to an external HTTP server by PUT, with the fencing token of the status
 * reporter duty. The server answers 409 or 412 to a token lower than the highest it has seen. After
 * such an answer, or after {@link #MAX_CONSECUTIVE_FAILURES} consecutive failures, this node gives
 * up the duty. One request runs at a time, on a thread of its own, which also counts the failures;
 * {@link #report} is called on the task loop thread of the cluster's membership.
 */
final class StatusReporter {
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_PRECONDITION_FAILED = 412;

    private final InetSocketAddress address;
    private final Log log;
    private final ThreadPoolExecutor threadPool =
            new ThreadPoolExecutor(
                    1,
                    1,
                    10,
                    TimeUnit.SECONDS,
                    new ArrayBlockingQueue<>(1),
                    task -> {
                        Thread worker = new Thread(task, "keeper");
                        worker.setDaemon(true);
                        return worker;
                    });
    private int consecutiveFailures;

    StatusReporter(InetSocketAddress address, Log log) {
        this.address = address;
        this.log = log;
        threadPool.allowCoreThreadTimeOut(true);
    }

    /**
     * Sends the status asynchronously.
     *
     * @param mayAct checked once more right before the request, on this reporter's thread
     * @param onFailure called with the error when this node should give up the duty
     * @return false if the earlier status is still waiting to be sent
     */
    boolean report(
            FencingToken token,
            String statusJson,
            BooleanSupplier mayAct,
            Consumer<String> onFailure) {
        try {
            threadPool.execute(() -> put(token, statusJson, mayAct, onFailure));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void put(
            FencingToken token,
            String statusJson,
            BooleanSupplier mayAct,
            Consumer<String> onFailure) {
        if (!mayAct.getAsBoolean()) {
            return;
        }
        try {
            int httpStatus = send(token, statusJson.getBytes(StandardCharsets.UTF_8));
            if (httpStatus == HTTP_CONFLICT || httpStatus == HTTP_PRECONDITION_FAILED) {
                consecutiveFailures = 0;
                onFailure.accept(
                        "the server rejected the token "
                                + token
                                + " as lower than one it has seen");
            } else if (httpStatus / 100 == 2) {
                consecutiveFailures = 0;
            } else {
                onError("status " + httpStatus, onFailure);
            }
        } catch (IOException e) {
            onError(e.getClass().getSimpleName(), onFailure);
        }
    }

    private void onError(String error, Consumer<String> onFailure) {
        if (++consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            consecutiveFailures = 0;
            onFailure.accept(error);
        } else {
            log.line("fleet: status report failed, keeping the duty error=" + error);
        }
    }

    private int send(FencingToken token, byte[] statusJson) throws IOException {
        HttpURLConnection put =
                (HttpURLConnection)
                        URI.create(
                                        "http://"
                                                + address.getHostString()
                                                + ":"
                                                + address.getPort()
                                                + "/fleet")
                                .toURL()
                                .openConnection();
        try {
            put.setRequestMethod("PUT");
            put.setConnectTimeout(TIMEOUT_MILLIS);
            put.setReadTimeout(TIMEOUT_MILLIS);
            put.setDoOutput(true);
            put.setRequestProperty("Duty-Token", token.toString());
            put.setRequestProperty("Content-Type", "application/json");
            put.setFixedLengthStreamingMode(statusJson.length);
            try (OutputStream body = put.getOutputStream()) {
                body.write(statusJson);
            }
            return put.getResponseCode();
        } finally {
            put.disconnect();
        }
    }
}
