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
 * Decides whether a request is sound: readable, known, within the protocol's bounds and in time.
 * All else is refused at once and never reaches the admission policy, whose picture of tenants,
 * waiting and cost it would spoil.
 *
 * <p>Immutable: made by any thread from one set of settings, used by the event loop thread.
 */
final class RequestValidator {
    /** The protocol's bound on a body. */
    private static final int MAX_BODY_BYTES = 2048;

    /** The protocol's bound on the memory that a request may ask for, itself out of bounds. */
    private static final int MEMORY_LIMIT_KB = 2000;

    /**
     * Both clocks are this machine's; a request from further ahead would outlive its own window.
     */
    private static final NanoDuration MAX_CLOCK_LEAD = NanoDuration.ofSeconds(0.25);

    private final Map<String, Integer> classNumbers = new HashMap<>();
    private final Map<String, Integer> tenantNumbers = new HashMap<>();
    private final List<RequestClass> requestClasses = new ArrayList<>();

    RequestValidator(SettingsMap settings) {
        numberByName(settings, "services", classNumbers);
        numberByName(settings, "customers", tenantNumbers);
        for (int i = 0; i < classNumbers.size(); i++) {
            requestClasses.add(PolicySettingsMapper.requestClass(settings, i));
        }
    }

    private static void numberByName(
            SettingsMap settings, String list, Map<String, Integer> numbers) {
        for (int i = 0; i < settings.number(list + ".count", 0); i++) {
            numbers.put(settings.text(list + "." + i + ".name"), i);
        }
    }

    /** The id of a valid request's class. */
    RequestClassId requestClassId(IncomingRequest incomingRequest) {
        return new RequestClassId(classNumbers.get(SettingsMap.word(incomingRequest.className())));
    }

    /** The tenant's id, the first where the settings name no tenants. */
    TenantId tenantId(IncomingRequest incomingRequest) {
        return new TenantId(tenantNumbers.getOrDefault(incomingRequest.tenant(), 0));
    }

    /** The longest timeout of any request class; zero where there is no class. */
    NanoDuration longestTimeout() {
        return requestClasses.stream()
                .map(RequestClass::timeout)
                .max(Comparator.naturalOrder())
                .orElse(NanoDuration.ZERO);
    }

    /** What the settings say about a request class. */
    RequestClass requestClass(RequestClassId classId) {
        return requestClasses.get(classId.number());
    }

    /** What the settings say about a valid request's class. */
    RequestClass requestClass(IncomingRequest incomingRequest) {
        return requestClasses.get(classNumbers.get(SettingsMap.word(incomingRequest.className())));
    }

    /** Whether a valid request may run twice. */
    boolean isSafe(IncomingRequest incomingRequest) {
        return requestClass(incomingRequest).idempotency() == Idempotency.SAFE;
    }

    /** How long from its arrival the caller waits: its own timeout, or its class's if shorter. */
    NanoDuration effectiveTimeout(IncomingRequest incomingRequest) {
        NanoDuration timeout = requestClass(incomingRequest).timeout();
        return incomingRequest.clientTimeout().isPositive()
                ? incomingRequest.clientTimeout().min(timeout)
                : timeout;
    }

    /**
     * The first fault of a request, or none.
     *
     * @param incomingRequest null where none could be read
     * @param original the idempotency record of an earlier attempt with its key, or null
     * @param attemptIdInUse whether another request in the table has its attempt id
     */
    Optional<RequestFault> fault(
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord original,
            boolean attemptIdInUse,
            MonotonicTime now) {
        return Optional.ofNullable(firstFault(incomingRequest, original, attemptIdInUse, now));
    }

    private RequestFault firstFault(
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord original,
            boolean attemptIdInUse,
            MonotonicTime now) {
        if (incomingRequest == null) {
            return RequestFault.UNREADABLE;
        }
        if (!classNumbers.containsKey(SettingsMap.word(incomingRequest.className()))) {
            return RequestFault.UNKNOWN_CLASS;
        }
        // Where the settings name no tenants, requests carry none, and whatever they carry means
        // nothing.
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
        if (original != null
                && original.body != null
                && !Arrays.equals(original.body, incomingRequest.body())) {
            return RequestFault.IDEMPOTENCY_KEY_REUSED;
        }
        if (now.plus(MAX_CLOCK_LEAD).isBefore(incomingRequest.reached())) {
            return RequestFault.FROM_THE_FUTURE;
        }
        if (incomingRequest.clientTimeout().equals(IncomingRequest.NO_TIME)
                || incomingRequest.work().equals(IncomingRequest.NO_TIME)) {
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
