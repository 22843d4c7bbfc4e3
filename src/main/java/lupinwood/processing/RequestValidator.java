package lupinwood.processing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinwood.admission.Idempotency;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.PolicySettingsMapper;
import lupinwood.admission.RequestClass;
import lupinwood.admission.RequestClassId;
import lupinwood.admission.SettingsMap;
import lupinwood.admission.TenantId;

/**
 * Decides whether a request is valid: parsed, of a known request class and tenant, within the
 * protocol's bounds and in time. Invalid requests fail at once and never reach the admission
 * policy, because they would distort its measurements of tenants, waiting times and cost.
 *
 * <p>Immutable: created by any thread from one version of the settings, used by the event loop
 * thread.
 */
final class RequestValidator {
    /** The protocol's limit for a body. */
    private static final int MAX_BODY_BYTES = 2048;

    /** The protocol's exclusive limit for the memory that a request may ask for. */
    private static final int MEMORY_LIMIT_KB = 2000;

    /** How far an arrival time may be ahead of this clock. Both clocks are on this host. */
    private static final NanoDuration MAX_CLOCK_LEAD = NanoDuration.ofSeconds(0.25);

    private final Map<String, Integer> requestClassNumbers = new HashMap<>();
    private final Map<String, Integer> tenantNumbers = new HashMap<>();
    private final List<RequestClass> requestClasses = new ArrayList<>();

    RequestValidator(SettingsMap settings) {
        numberByName(settings, "services", requestClassNumbers);
        numberByName(settings, "customers", tenantNumbers);
        for (int i = 0; i < requestClassNumbers.size(); i++) {
            requestClasses.add(PolicySettingsMapper.requestClass(settings, i));
        }
    }

    private static void numberByName(
            SettingsMap settings, String listName, Map<String, Integer> numbers) {
        for (int i = 0; i < settings.number(listName + ".count", 0); i++) {
            numbers.put(settings.text(listName + "." + i + ".name"), i);
        }
    }

    /** The request class id of a valid request. */
    RequestClassId requestClassId(IncomingRequest incomingRequest) {
        return new RequestClassId(
                requestClassNumbers.get(SettingsMap.word(incomingRequest.className())));
    }

    /** The tenant id; the first if the settings name no tenants. */
    TenantId tenantId(IncomingRequest incomingRequest) {
        return new TenantId(tenantNumbers.getOrDefault(incomingRequest.tenant(), 0));
    }

    /** The longest timeout of any request class; zero if there is no request class. */
    NanoDuration longestTimeout() {
        return requestClasses.stream()
                .map(RequestClass::timeout)
                .max(Comparator.naturalOrder())
                .orElse(NanoDuration.ZERO);
    }

    /** The settings of a request class. */
    RequestClass requestClass(RequestClassId requestClassId) {
        return requestClasses.get(requestClassId.number());
    }

    /** The settings of a valid request's request class. */
    RequestClass requestClass(IncomingRequest incomingRequest) {
        return requestClasses.get(
                requestClassNumbers.get(SettingsMap.word(incomingRequest.className())));
    }

    /** Whether a valid request may run twice. */
    boolean isSafe(IncomingRequest incomingRequest) {
        return requestClass(incomingRequest).idempotency() == Idempotency.SAFE;
    }

    /**
     * How long the client waits from the request's arrival: its own timeout, or that of the request
     * class if shorter.
     */
    NanoDuration effectiveTimeout(IncomingRequest incomingRequest) {
        NanoDuration timeout = requestClass(incomingRequest).timeout();
        return incomingRequest.clientTimeout().isPositive()
                ? incomingRequest.clientTimeout().min(timeout)
                : timeout;
    }

    /**
     * Finds the first fault of a request; empty if it is valid.
     *
     * @param incomingRequest null if it can't be parsed
     * @param originalRecord the idempotency record of an earlier attempt with the same key, or null
     * @param attemptIdInUse whether its attempt id is that of another request in the request table,
     *     or of an unsafe one that may have run
     */
    Optional<RequestFault> fault(
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord originalRecord,
            boolean attemptIdInUse,
            MonotonicTime now) {
        return Optional.ofNullable(
                firstFault(incomingRequest, originalRecord, attemptIdInUse, now));
    }

    private RequestFault firstFault(
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord originalRecord,
            boolean attemptIdInUse,
            MonotonicTime now) {
        if (incomingRequest == null) {
            return RequestFault.MALFORMED;
        }
        if (!requestClassNumbers.containsKey(SettingsMap.word(incomingRequest.className()))) {
            return RequestFault.UNKNOWN_CLASS;
        }
        // If the settings name no tenants, requests need none, and a tenant that they carry is
        // ignored.
        if (!tenantNumbers.isEmpty() && !tenantNumbers.containsKey(incomingRequest.tenant())) {
            return RequestFault.UNKNOWN_TENANT;
        }
        if (attemptIdInUse) {
            return RequestFault.ATTEMPT_ID_IN_USE;
        }
        boolean isIdempotent =
                requestClass(incomingRequest).idempotency() == Idempotency.IDEMPOTENT;
        if (isIdempotent != (incomingRequest.idempotencyKey() != null)) {
            return RequestFault.IDEMPOTENCY_KEY_MISMATCH;
        }
        if (originalRecord != null
                && originalRecord.body != null
                && !Arrays.equals(originalRecord.body, incomingRequest.body())) {
            return RequestFault.IDEMPOTENCY_KEY_REUSED;
        }
        if (now.plus(MAX_CLOCK_LEAD).isBefore(incomingRequest.reached())) {
            return RequestFault.ARRIVAL_TIME_IN_FUTURE;
        }
        if (incomingRequest.clientTimeout().equals(IncomingRequest.INVALID_DURATION)
                || incomingRequest.work().equals(IncomingRequest.INVALID_DURATION)) {
            return RequestFault.INVALID_DURATION;
        }
        if (!now.isBefore(incomingRequest.reached().plus(effectiveTimeout(incomingRequest)))) {
            return RequestFault.PAST_DEADLINE;
        }
        return isWithinBounds(incomingRequest) ? null : RequestFault.OUT_OF_BOUNDS;
    }

    private static boolean isWithinBounds(IncomingRequest incomingRequest) {
        return incomingRequest.memoryKb() > 0
                && incomingRequest.memoryKb() < MEMORY_LIMIT_KB
                && incomingRequest.rank() >= 0
                && incomingRequest.rank() < 1
                && incomingRequest.body().length <= MAX_BODY_BYTES;
    }
}
