package lupinwood.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of each tenant's quota that falls to this node, as a token bucket: a rate in requests
 * per second, and the tokens saved up. A tenant that sends more is over its quota, and its further
 * requests have a reduced utility.
 *
 * <pre>
 * rate   = the tenant's quota / nodes in the group
 * window = max(6 s, 16 requests / rate)
 * tokens = min(rate * window * typical, tokens + rate * typical * elapsed)
 * </pre>
 *
 * <p>A node that upstreams prefer gets more requests of all tenants. So the rate is multiplied by
 * {@code typical}: the recently admitted requests of the median tenant, as a multiple of its quota;
 * at least 1. The median is taken over all tenants of the settings; one without a quota counts as
 * 0.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class TenantQuota {
    /**
     * The least averaging window, in seconds: over a shorter one, random variation alone exceeds a
     * quota.
     */
    private static final double MIN_WINDOW_SECONDS = 6;

    /**
     * The least number of requests in a window, so that a few requests under a small quota aren't
     * taken for a burst.
     */
    private static final double MIN_WINDOW_REQUESTS = Histogram.RECENT_SAMPLES / 2.0;

    /** A tenant bursts when it sends more than this multiple of what is typical here. */
    private static final double BURST_RATIO = 2;

    /** The token bucket of one tenant. */
    final class Bucket {
        private double rate;
        private double windowSeconds;
        private double tokens;
        private double offered;
        private double admitted;
        private double typicalMultiple = 1;
        private MonotonicTime updatedAt = startedAt;

        private void configure(double quotaPerSecond, double nodesInGroup) {
            rate = quotaPerSecond / Math.max(1, nodesInGroup);
            windowSeconds =
                    Math.max(MIN_WINDOW_SECONDS, MIN_WINDOW_REQUESTS / Math.max(1e-9, rate));
        }

        private void advance(MonotonicTime now) {
            double elapsedSeconds = now.since(updatedAt).seconds();
            offered *= Math.exp(-elapsedSeconds / windowSeconds);
            admitted *= Math.exp(-elapsedSeconds / windowSeconds);
            tokens =
                    Math.min(
                            rate * windowSeconds * typicalMultiple,
                            tokens + rate * typicalMultiple * elapsedSeconds);
            updatedAt = now;
        }

        /** Converts a decayed count of recent requests to a multiple of the quota. */
        private double multipleOfQuota(double requests) {
            double ageSeconds = Math.max(MIN_WINDOW_SECONDS, updatedAt.since(startedAt).seconds());
            double observedRatio = 1 - Math.exp(-ageSeconds / windowSeconds);
            return requests / Math.max(1e-9, rate * windowSeconds * observedRatio);
        }

        /**
         * Counts a request and takes one token if there is one; returns whether the request is
         * within the quota.
         */
        private boolean tryTake(MonotonicTime now) {
            buckets.forEach(bucket -> bucket.advance(now));
            offered++;
            admitted++;
            typicalMultiple = Math.max(1, medianMultipleOfQuota());
            boolean withinQuota = tokens >= 1;
            tokens -= withinQuota ? 1 : 0;
            return withinQuota;
        }

        /** Gives back to the quota what a request that never ran took. */
        void refund(boolean wasOverQuota) {
            admitted = Math.max(0, admitted - 1);
            tokens += wasOverQuota ? 0 : 1;
        }

        /** Whether the tenant sends more than twice what is typical here. */
        boolean isBursting() {
            return multipleOfQuota(offered) > BURST_RATIO * typicalMultiple;
        }
    }

    private final MonotonicTime startedAt;
    private final List<Bucket> buckets = new ArrayList<>();

    TenantQuota(MonotonicTime startedAt, PolicySettings settings) {
        this.startedAt = startedAt;
        for (double quota : settings.tenantQuotasPerSecond()) {
            Bucket bucket = new Bucket();
            bucket.configure(quota, settings.nodesInGroup());
            bucket.tokens = bucket.rate * MIN_WINDOW_SECONDS;
            buckets.add(bucket);
        }
    }

    /** Applies changed quotas; saved-up tokens are kept. */
    void update(PolicySettings settings) {
        for (int i = 0; i < buckets.size(); i++) {
            buckets.get(i)
                    .configure(settings.tenantQuotasPerSecond().get(i), settings.nodesInGroup());
        }
    }

    /** Charges a request to its tenant, if that has a quota. */
    void charge(AdmittedRequest request, MonotonicTime now) {
        int tenantIndex = request.received().tenantId().number();
        if (tenantIndex < buckets.size() && buckets.get(tenantIndex).rate > 0) {
            Bucket bucket = buckets.get(tenantIndex);
            request.chargeTo(bucket, !bucket.tryTake(now));
        }
    }

    private double medianMultipleOfQuota() {
        return buckets.stream()
                .mapToDouble(bucket -> bucket.multipleOfQuota(bucket.admitted))
                .sorted()
                .skip((buckets.size() - 1) / 2)
                .findFirst()
                .orElse(1);
    }
}
