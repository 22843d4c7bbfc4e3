package lupinwood.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * Each tenant's quota of this node, as a token bucket: a rate in requests a second, and what the
 * tenant has saved up of it. One that sends more is over its quota, and its further requests count
 * for little.
 *
 * <pre>
 * rate   = the tenant's quota / nodes in the group
 * window = max(6 s, 16 requests / rate)
 * tokens = min(rate * window * usual, tokens + rate * usual * passed)
 * </pre>
 *
 * <p>A node that upstreams favour gets more of all tenants. So the rate grows by the factor {@code
 * usual}: what the middle tenant had admitted lately, as a multiple of its quota, at least 1.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class TenantQuota {
    /** Over so many seconds, or more, a quota is averaged: shorter ones fail on chance alone. */
    private static final double MIN_WINDOW_SECONDS = 6;

    /** A window holds so many requests at least, so that small quotas can be told from bursts. */
    private static final double MIN_WINDOW_REQUESTS = Histogram.RECENT_SAMPLES / 2.0;

    /** Past this multiple of the usual a tenant is in a burst. */
    private static final double BURST_FACTOR = 2;

    /** One tenant's bucket. */
    final class Bucket {
        private double rate;
        private double windowSeconds;
        private double tokens;
        private double offered;
        private double admitted;
        private double usual = 1;
        private MonotonicTime updatedAt = startedAt;

        private void configure(double quotaPerSecond, double nodesInGroup) {
            rate = quotaPerSecond / Math.max(1, nodesInGroup);
            windowSeconds =
                    Math.max(MIN_WINDOW_SECONDS, MIN_WINDOW_REQUESTS / Math.max(1e-9, rate));
        }

        private void advance(MonotonicTime now) {
            double passed = now.since(updatedAt).seconds();
            offered *= Math.exp(-passed / windowSeconds);
            admitted *= Math.exp(-passed / windowSeconds);
            tokens = Math.min(rate * windowSeconds * usual, tokens + rate * usual * passed);
            updatedAt = now;
        }

        /** So many requests lately, as a multiple of the quota. */
        private double multipleOfQuota(double requests) {
            double age = Math.max(MIN_WINDOW_SECONDS, updatedAt.since(startedAt).seconds());
            double past = 1 - Math.exp(-age / windowSeconds);
            return requests / Math.max(1e-9, rate * windowSeconds * past);
        }

        /** Whether one more request stays within the quota; if so it is taken off. */
        private boolean spend(MonotonicTime now) {
            buckets.forEach(bucket -> bucket.advance(now));
            offered++;
            admitted++;
            usual = Math.max(1, middleMultiple());
            boolean within = tokens >= 1;
            tokens -= within ? 1 : 0;
            return within;
        }

        /** A request that never ran takes nothing of the quota. */
        void refund(boolean wasOverQuota) {
            admitted = Math.max(0, admitted - 1);
            tokens += wasOverQuota ? 0 : 1;
        }

        /** Whether the tenant sends over twice what is usual here. */
        boolean isBursting() {
            return multipleOfQuota(offered) > BURST_FACTOR * usual;
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

    /** Takes over changed quotas; what was saved up stays. */
    void update(PolicySettings settings) {
        for (int i = 0; i < buckets.size(); i++) {
            buckets.get(i)
                    .configure(settings.tenantQuotasPerSecond().get(i), settings.nodesInGroup());
        }
    }

    /** Charges a request to its tenant, where that has a quota. */
    void charge(AdmittedRequest request, MonotonicTime now) {
        int place = request.request().tenantId().number();
        if (place < buckets.size() && buckets.get(place).rate > 0) {
            Bucket bucket = buckets.get(place);
            request.charged(bucket, !bucket.spend(now));
        }
    }

    private double middleMultiple() {
        return buckets.stream()
                .mapToDouble(bucket -> bucket.multipleOfQuota(bucket.admitted))
                .sorted()
                .skip((buckets.size() - 1) / 2)
                .findFirst()
                .orElse(1);
    }
}
