package lupinwood.processing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinwood.admission.Idempotency;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.PolicySettingsMapper;
import lupinwood.admission.RequestClass;
import lupinwood.admission.RequestClassId;
import lupinwood.admission.SettingsMap;
import lupinwood.admission.TenantId;

/**
 * What may come in as a request: readable, known, within the protocol's bounds and in time. All
 * else is answered at once and never told to the node, whose picture of tenants, waiting and cost
 * it would spoil.
 */
final class RequestValidator {
    /** The one fault that may lie with this side: a pause, or a crowd in front of the listener. */
    static final String TOO_LATE = "past its abandon time";

    /** Of one request alone: whoever sends it may well know the protocol otherwise. */
    static final String NO_TIME = "with a time to wait or a hint that is none";

    private static final int MOST_BODY = 2048;
    private static final int MOST_KB = 2000;

    /**
     * Both clocks are this machine's; a request from further ahead would outlive its own window.
     */
    private static final NanoDuration AHEAD = NanoDuration.ofSeconds(0.25);

    private final Map<String, Integer> requestClasses = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final List<RequestClass> says = new ArrayList<>();

    RequestValidator(SettingsMap settings) {
        number(settings, "services", requestClasses);
        number(settings, "customers", tenants);
        for (int i = 0; i < requestClasses.size(); i++) {
            says.add(PolicySettingsMapper.requestClass(settings, i));
        }
    }

    private static void number(SettingsMap settings, String list, Map<String, Integer> places) {
        for (int i = 0; i < settings.number(list + ".count", 0); i++) {
            places.put(settings.text(list + "." + i + ".name"), i);
        }
    }

    RequestClassId requestClass(IncomingRequest incomingRequest) {
        return new RequestClassId(
                requestClasses.get(SettingsMap.word(incomingRequest.className())));
    }

    TenantId tenant(IncomingRequest incomingRequest) {
        return new TenantId(tenants.getOrDefault(incomingRequest.tenant(), 0));
    }

    NanoDuration longestTimeout() {
        return says.stream()
                .map(RequestClass::timeout)
                .max(Comparator.naturalOrder())
                .orElse(NanoDuration.ZERO);
    }

    RequestClass says(RequestClassId classId) {
        return says.get(classId.number());
    }

    RequestClass says(IncomingRequest incomingRequest) {
        return says.get(requestClasses.get(SettingsMap.word(incomingRequest.className())));
    }

    /** How long its caller waits, as told, and no longer than anyone does for its request class. */
    NanoDuration waits(IncomingRequest incomingRequest) {
        NanoDuration timeout = says(incomingRequest).timeout();
        return incomingRequest.clientTimeout().isPositive()
                ? incomingRequest.clientTimeout().min(timeout)
                : timeout;
    }

    /**
     * Why it is no sound request, or null; the idempotency record is that of an earlier try with
     * its mark, or null.
     */
    String fault(
            IncomingRequest incomingRequest,
            IdempotencyStore.IdempotencyRecord idempotencyRecord,
            boolean idInUse,
            MonotonicTime now) {
        if (incomingRequest == null) {
            return "that can't be read";
        }
        if (!requestClasses.containsKey(SettingsMap.word(incomingRequest.className()))) {
            return "of no known track";
        }
        // Where the settings name no tenants, requests carry none, and whatever they carry tells
        // nothing.
        if (!tenants.isEmpty() && !tenants.containsKey(incomingRequest.tenant())) {
            return "of no known customer";
        }
        if (idInUse) {
            return "named like another";
        }
        RequestClass requestClass = says(incomingRequest);
        if (requestClass.idempotency()
                == Idempotency.IDEMPOTENT
                != (incomingRequest.idempotencyKey() != null)) {
            return "with a mark on the wrong track, or without one";
        }
        if (idempotencyRecord != null
                && idempotencyRecord.body != null
                && !Arrays.equals(idempotencyRecord.body, incomingRequest.body())) {
            return "with the mark of another";
        }
        if (now.plus(AHEAD).isBefore(incomingRequest.reached())) {
            return "from the future";
        }
        if (incomingRequest.clientTimeout().equals(IncomingRequest.NO_TIME)
                || incomingRequest.work().equals(IncomingRequest.NO_TIME)) {
            return NO_TIME;
        }
        if (!now.isBefore(incomingRequest.reached().plus(waits(incomingRequest)))) {
            return TOO_LATE;
        }
        boolean sound =
                incomingRequest.memoryKb() > 0
                        && incomingRequest.memoryKb() < MOST_KB
                        && incomingRequest.rank() >= 0
                        && incomingRequest.rank() < 1
                        && incomingRequest.body().length <= MOST_BODY;
        return sound ? null : "out of bounds";
    }
}
